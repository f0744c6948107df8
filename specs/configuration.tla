------------------------- MODULE configuration -------------------------
\* Versioned configurations under concurrent patches, snapshots, log retention, views from peers,
\* log outages, and instances that crash and are replaced.
\*
\* Code that follows this specification: crates/core/src/ledger/history.rs (replay and merge),
\* crates/core/src/ledger/snapshot.rs, crates/core/src/ledger/currency.rs (the proof) and
\* crates/core/src/contract/configuration.rs (patches).
EXTENDS Integers, Sequences

CONSTANTS
    Instances,
    MaxLog,     \* bound of the number of patches
    MaxTime,    \* bound of the time, in ticks
    Storage,    \* TRUE explores snapshots and log retention, FALSE time and proofs
    Deaths,     \* whether instances may crash, one at a time
    Term,       \* maximum age of the proof with which an instance accepts work, in ticks
    Skipped     \* disabled guards: {} for the protocol

VARIABLES
    now,
    up,         \* whether the log is available
    log,        \* patches in the log, each with its base version
    way,        \* appends in transit, one per base version; they stay, so that
                \* each may take effect again
    trimmed,    \* offset up to which the log was trimmed
    snapshots,  \* stored views
    alive,
    view,       \* view[i]: next offset, accepted patches in order, time of the proof
    letter,     \* letter[i]: a peer's view in transit to i
    told,       \* the highest version confirmed to an operator, and when
    back,       \* whether an instance went back to a lower version
    late        \* whether work was accepted under an outdated version

vars == <<now, up, log, way, trimmed, snapshots, alive, view, letter, told, back, late>>

None == -1
Guard(name, condition) == name \in Skipped \/ condition
Max(a, b) == IF a > b THEN a ELSE b

Empty == [next |-> 0, chain |-> <<>>, proof |-> None]
Version(v) == Len(v.chain)

\* History::apply: a patch is accepted if its base is the current version.
Apply(v, k) ==
    [v EXCEPT !.next = k,
              !.chain = IF Guard("expect", log[k].base = Len(v.chain)) THEN Append(v.chain, k)
                        ELSE v.chain]

\* Merges a view from another instance or a snapshot: the newer one is kept. The other's proof is
\* valid for the merged view if that is at least as new as the other.
Merge(own, other) ==
    LET newer == Guard("monotone", other.next > own.next)
        merged == IF newer THEN [other EXCEPT !.proof = own.proof] ELSE own
    IN IF other.next <= merged.next /\ other.proof > merged.proof
       THEN [merged EXCEPT !.proof = other.proof] ELSE merged

\* An instance replaces its view.
Take(i, v) ==
    /\ view' = [view EXCEPT ![i] = v]
    /\ back' = (back \/ Version(v) < Version(view[i]))

Init ==
    /\ now = 0 /\ up = TRUE /\ log = <<>> /\ way = {} /\ trimmed = 0 /\ snapshots = {}
    /\ alive = [i \in Instances |-> TRUE]
    /\ view = [i \in Instances |-> Empty]
    /\ letter = [i \in Instances |-> Empty]
    /\ told = [version |-> 0, at |-> 0]
    /\ back = FALSE /\ late = FALSE

Tick ==
    /\ now < MaxTime /\ now' = now + 1
    /\ UNCHANGED <<up, log, way, trimmed, snapshots, alive, view, letter, told, back, late>>

\* The log becomes unavailable and stays so; the time of availability is the time before this step.
GoDown ==
    /\ ~Storage /\ up /\ up' = FALSE
    /\ UNCHANGED <<now, log, way, trimmed, snapshots, alive, view, letter, told, back, late>>

\* An operator sends a patch to an instance, which checks the base against its own view.
Patch(i) ==
    /\ alive[i] /\ Len(log) < MaxLog
    /\ way' = way \cup {[base |-> Version(view[i])]}
    /\ way' # way
    /\ UNCHANGED <<now, up, log, trimmed, snapshots, alive, view, letter, told, back, late>>

\* The append takes effect, at once or late, and again if an operator repeats the patch.
Land == \E r \in way :
    /\ up /\ Len(log) < MaxLog
    /\ log' = Append(log, r)
    /\ UNCHANGED <<now, up, way, trimmed, snapshots, alive, view, letter, told, back, late>>

\* An instance reads the next record. Trimmed records can't be read; without the check for the gap
\* the reader would skip them.
Read(i) ==
    /\ alive[i] /\ up
    /\ LET k == Max(view[i].next, trimmed) + 1
       IN /\ k <= Len(log)
          /\ Guard("gap", view[i].next >= trimmed)
          /\ Take(i, Apply(view[i], k))
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, alive, letter, told, late>>

\* The log confirms that the stream ends at the view's next offset.
Prove(i) ==
    /\ ~Storage /\ alive[i] /\ up /\ view[i].next = Len(log)
    /\ view' = [view EXCEPT ![i].proof = now]
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, alive, letter, told, back, late>>

\* An instance stores a snapshot, which has no proof.
Store(i) ==
    /\ Storage /\ alive[i] /\ up /\ view[i].next > 0
    /\ snapshots' = snapshots \cup {[view[i] EXCEPT !.proof = None]}
    /\ snapshots' # snapshots
    /\ UNCHANGED <<now, up, log, way, trimmed, alive, view, letter, told, back, late>>

\* An instance restores any stored snapshot, possibly an old one.
Restore(i) == \E s \in snapshots :
    /\ alive[i] /\ up
    /\ Take(i, Merge(view[i], s))
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, alive, letter, told, late>>

\* Retention trims records that a snapshot covers.
Trim == \E k \in 1..Len(log) :
    /\ k > trimmed /\ \E s \in snapshots : s.next >= k
    /\ trimmed' = k
    /\ UNCHANGED <<now, up, log, way, snapshots, alive, view, letter, told, back, late>>

\* A peer sends its view to i, which receives it later.
Mail(i) == \E j \in Instances \ {i} :
    /\ alive[j] /\ view[j] # Empty /\ letter' = [letter EXCEPT ![i] = view[j]]
    /\ letter' # letter
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, alive, view, told, back, late>>
Receive(i) ==
    /\ alive[i] /\ letter[i] # Empty
    /\ Take(i, Merge(view[i], IF "forwarded" \in Skipped THEN [letter[i] EXCEPT !.proof = now]
                              ELSE letter[i]))
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, alive, letter, told, late>>

\* In a log outage an instance queries all peers and takes the newest view. (attempt.tla specifies
\* which peers must be queried while the instance list lags.) At least one of them must have had a
\* proof before, since an instance that has just started has no state.
Poll(i) ==
    /\ alive[i] /\ ~up
    /\ LET peers == {j \in Instances : alive[j]}
           newest == CHOOSE j \in peers : \A k \in peers : view[k].next <= view[j].next
       IN /\ Guard("newcomer", \E j \in peers : view[j].proof # None)
          /\ Take(i, [Merge(view[i], view[newest]) EXCEPT !.proof = now])
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, alive, letter, told, late>>

\* The patch is confirmed to the operator once a second instance has read it. Otherwise the only
\* instance that has it may crash during a log outage.
Tell(i) ==
    /\ ~Storage /\ alive[i] /\ Version(view[i]) > told.version
    /\ Guard("second", ~Deaths \/ \E j \in Instances \ {i} :
                           alive[j] /\ Version(view[j]) >= Version(view[i]))
    /\ told' = [version |-> Version(view[i]), at |-> now]
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, alive, view, letter, back, late>>

\* An instance accepts work under its version if its proof is recent enough.
Work(i) ==
    /\ alive[i]
    /\ Guard("term", view[i].proof # None /\ now - view[i].proof <= Term)
    /\ late' = (late \/ (told.version > Version(view[i]) /\ now - told.at > Term))
    /\ late' # late
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, alive, view, letter, told, back>>

\* One instance crashes; a replacement starts without state.
Die(i) ==
    /\ Deaths /\ \A j \in Instances : alive[j]
    /\ alive' = [alive EXCEPT ![i] = FALSE]
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, view, letter, told, back, late>>
Start(i) ==
    /\ ~alive[i] /\ alive' = [alive EXCEPT ![i] = TRUE]
    /\ view' = [view EXCEPT ![i] = Empty] /\ letter' = [letter EXCEPT ![i] = Empty]
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, told, back, late>>

Next ==
    \/ Tick \/ GoDown \/ Land \/ Trim
    \/ \E i \in Instances :
        \/ Patch(i) \/ Read(i) \/ Prove(i) \/ Store(i) \/ Restore(i) \/ Mail(i) \/ Receive(i)
        \/ Poll(i) \/ Tell(i) \/ Work(i) \/ Die(i) \/ Start(i)

\* No instance goes back to a lower version.
NeverBack == ~back

\* Two views with the same offset are equal, and the base of each version is its predecessor: of
\* concurrent patches to one version exactly one is accepted.
Agree == \A i, j \in Instances : view[i].next = view[j].next => view[i].chain = view[j].chain
OneEach == \A i \in Instances : \A n \in 1..Len(view[i].chain) : log[view[i].chain[n]].base = n - 1

\* A version that was confirmed longer than Term ago is in force wherever work is accepted.
InForce == ~late
=========================================================================
