---------------------------- MODULE shard ----------------------------
\* Ownership of a shard by claims in the log, and the runs of one task on several workers.
\*
\* Code that follows this specification: crates/daemon/src/shard/steward.rs (ownership),
\* crates/core/src/contract/owner.rs (order of starts) and crates/core/src/ledger/shard/book.rs.
\*
\* An order may take effect at any later time, more than once and after newer orders. A daemon may
\* pause at any point and resume later with the state that it last read.
EXTENDS Naturals, Sequences, FiniteSets

CONSTANTS
    Daemons,
    Workers,
    MaxEpoch,   \* bound of the epochs claimed
    MaxRun,     \* bound of the number of runs
    Skipped     \* disabled guards: {} for the protocol

VARIABLES
    log,        \* records: claims, starts and losses
    view,       \* view[d]: number of records that d has read
    way,        \* start orders in transit; none is ever removed
    fence,      \* fence[w]: highest epoch that w has seen
    running,    \* running[w]: numbers of the runs executing on w
    barred,     \* barred[w]: runs up to this number can no longer start on w
    looked      \* looked[d]: workers that answered a look of d, each with the epoch

vars == <<log, view, way, fence, running, barred, looked>>

Guard(name, condition) == name \in Skipped \/ condition

\* Claims among the first n records; the newest one, its epoch and its daemon.
Claims(n) == {k \in 1..n : log[k].kind = "claim"}
Newest(n) == CHOOSE k \in Claims(n) : \A j \in Claims(n) : log[j].epoch <= log[k].epoch
Epoch(n) == IF Claims(n) = {} THEN 0 ELSE log[Newest(n)].epoch
Owns(d) == Claims(view[d]) # {} /\ log[Newest(view[d])].by = d
Own(d) == Epoch(view[d])

\* Starts among the first n records, and those whose runs are not lost.
Starts(n) == {k \in 1..n : log[k].kind = "start"}
IsLost(n, r) == \E k \in 1..n : log[k].kind = "lost" /\ log[k].run = r
Open(n) == {k \in Starts(n) : ~IsLost(n, log[k].run)}

Init ==
    /\ log = <<>> /\ way = {}
    /\ view = [d \in Daemons |-> 0]
    /\ fence = [w \in Workers |-> 0]
    /\ running = [w \in Workers |-> {}]
    /\ barred = [w \in Workers |-> 0]
    /\ looked = [d \in Daemons |-> {}]

\* The store accepts an append unless its epoch was fenced by a later one.
Fenced(e) == Guard("fence", e >= Epoch(Len(log)))

\* A daemon claims the next epoch. Of several claims of an epoch the store accepts the first.
Claim(d) ==
    /\ Own(d) < MaxEpoch
    /\ Guard("first", Own(d) + 1 > Epoch(Len(log)))
    /\ Len(log) < 2 * MaxEpoch + 2 * MaxRun
    /\ log' = Append(log, [kind |-> "claim", by |-> d, epoch |-> Own(d) + 1, run |-> 0, on |-> ""])
    /\ UNCHANGED <<view, way, fence, running, barred, looked>>

Read(d) ==
    /\ view[d] < Len(log)
    /\ view' = [view EXCEPT ![d] = view[d] + 1]
    /\ UNCHANGED <<log, way, fence, running, barred, looked>>

\* A worker answers a look: it rejects older epochs from now on and lists its running runs.
Look(d, w) ==
    /\ Owns(d) /\ Guard("token", Own(d) >= fence[w])
    /\ fence' = [fence EXCEPT ![w] = IF Own(d) > @ THEN Own(d) ELSE @]
    /\ looked' = [looked EXCEPT ![d] = @ \cup {<<w, Own(d)>>}]
    /\ UNCHANGED <<log, view, way, running, barred>>

\* The owner records a start before it sends the order.
Start(d, w) ==
    /\ Owns(d) /\ Fenced(Own(d))
    /\ Guard("read", view[d] = Len(log))
    /\ <<w, Own(d)>> \in looked[d]
    /\ Open(view[d]) = {}
    /\ LET r == Cardinality(Starts(Len(log))) + 1 IN
        /\ r <= MaxRun
        /\ log' = Append(log, [kind |-> "start", by |-> d, epoch |-> Own(d), run |-> r, on |-> w])
        /\ way' = way \cup {[epoch |-> Own(d), run |-> r, on |-> w]}
        /\ view' = [view EXCEPT ![d] = Len(log) + 1]
    /\ UNCHANGED <<fence, running, barred, looked>>

\* A worker executes a start order.
Carry(o) ==
    /\ Guard("token", o.epoch >= fence[o.on])
    /\ Guard("stop", o.run > barred[o.on])
    /\ o.run \notin running[o.on]
    /\ fence' = [fence EXCEPT ![o.on] = IF o.epoch > @ THEN o.epoch ELSE @]
    /\ running' = [running EXCEPT ![o.on] = @ \cup {o.run}]
    /\ UNCHANGED <<log, view, way, barred, looked>>

\* A run ends by itself and can't start on that worker again.
End(w, r) ==
    /\ r \in running[w]
    /\ running' = [running EXCEPT ![w] = @ \ {r}]
    /\ barred' = [barred EXCEPT ![w] = IF r > @ THEN r ELSE @]
    /\ UNCHANGED <<log, view, way, fence, looked>>

\* The owner stops a run, which can't start on that worker any more.
Stop(d, k) ==
    /\ Owns(d) /\ k \in Open(view[d])
    /\ LET w == log[k].on IN
        /\ Guard("token", Own(d) >= fence[w])
        /\ fence' = [fence EXCEPT ![w] = IF Own(d) > @ THEN Own(d) ELSE @]
        /\ running' = [running EXCEPT ![w] = @ \ {log[k].run}]
        /\ barred' = [barred EXCEPT ![w] = IF log[k].run > @ THEN log[k].run ELSE @]
    /\ UNCHANGED <<log, view, way, looked>>

\* The owner records a run as lost: its worker answered a look of this epoch and doesn't list the
\* run, and the start order either is of an earlier epoch or was cancelled by a stop.
Lose(d, k) ==
    /\ Owns(d) /\ Fenced(Own(d)) /\ k \in Open(view[d])
    /\ Guard("read", view[d] = Len(log))
    /\ LET w == log[k].on IN
        /\ Guard("look", <<w, Own(d)>> \in looked[d] /\ fence[w] = Own(d))
        /\ log[k].run \notin running[w]
        /\ Guard("order", log[k].epoch < Own(d) \/ log[k].run <= barred[w])
    /\ log' = Append(log, [kind |-> "lost", by |-> d, epoch |-> Own(d), run |-> log[k].run, on |-> ""])
    /\ view' = [view EXCEPT ![d] = Len(log) + 1]
    /\ UNCHANGED <<way, fence, running, barred, looked>>

Next ==
    \/ \E o \in way : Carry(o)
    \/ \E w \in Workers : \E r \in 1..MaxRun : End(w, r)
    \/ \E d \in Daemons :
        \/ Claim(d) \/ Read(d)
        \/ \E w \in Workers : Look(d, w) \/ Start(d, w)
        \/ \E k \in 1..Len(log) : Stop(d, k) \/ Lose(d, k)

\* The task never runs on two workers, nor twice on one.
OnePlace == \A v, w \in Workers : \A r, s \in 1..MaxRun :
    (r \in running[v] /\ s \in running[w]) => (v = w /\ r = s)

\* No two daemons share an epoch.
OneOwner == \A j, k \in Claims(Len(log)) : log[j].epoch = log[k].epoch => log[j].by = log[k].by
=======================================================================
