---------------------------- MODULE attempt ----------------------------
\* One attempt of a task under a lease, the loss of its worker, and when the task may be placed
\* elsewhere, under log outages, network partitions and lag of the instance list.
\*
\* Code that follows this specification: crates/core/src/machine/lease.rs (the bounds),
\* crates/core/src/ledger/currency.rs (the proof), crates/core/src/ledger/attempt.rs (when a task
\* may be placed again), crates/core/src/machine/adoption.rs (which leases are renewed),
\* crates/core/src/machine/arbiter.rs (the worker) and crates/core/src/zone/membership.rs.
\*
\* Three processes with a clock each: the controller "c", the steward "s" that tries to place the
\* task elsewhere, and the worker "w". Any two clocks differ by at most Skew at any instant; within
\* that each may run fast or slow. Pauses, log outages and network partitions are modelled by steps
\* that are not taken: an answer may be delivered late or never. Of the instance list the model has
\* only whether the steward is on it and whether controller and steward have read that.
EXTENDS Integers

CONSTANTS
    Lease, Currency, Skew,  \* durations in ticks, see lease::Bounds
    Less,                   \* ticks by which the fence is too short: 0 for the protocol
    ListLag,                \* maximum lag of the instance list, in ticks
    ListChanges,            \* whether the steward may join and leave the list
    Separation,             \* "move" or "hold", as set for the task's kind
    Skipped                 \* disabled guards: {} for the protocol

VARIABLES
    clock,      \* clock[p]: time of p's clock
    landed,     \* whether the worker's loss is in the log
    known,      \* whether the controller has read the loss
    proof,      \* when the controller sent the query for its newest proof that no loss is in force
    question,   \* the controller's outstanding query: when it was sent, and its answer
    state,      \* the attempt on the worker: "idle", "running", "over" or "dead"
    until,      \* end of the attempt's lease
    sent,       \* latest lease end of all renewals sent
    first,      \* lease end in the start order, 0 before one is sent
    read,       \* whether the steward has read the loss
    from,       \* start of the steward's fence
    recorded,   \* when the attempt was recorded, by the steward's clock
    elsewhere,  \* whether the next attempt runs on another worker
    listed, changed,    \* whether the steward is on the list, and since when
    asked, missing,     \* whether the controller's reading has it, and since when not
    seen, since         \* whether the steward's reading has it, and since when

list == <<listed, changed, asked, missing, seen, since>>
vars == <<clock, landed, known, proof, question, state, until, sent, first, read, from, recorded,
          elsewhere, list>>

None == -1
Processes == {"c", "s", "w"}
Guard(name, condition) == name \in Skipped \/ condition
Max(a, b) == IF a > b THEN a ELSE b

\* lease::Bounds::fence. The controller queries its last proof before the steward reads the loss. It
\* uses the proof for at most Currency, and a lease granted on it lasts for Lease. Skew counts
\* twice: the controller's clock may be ahead of the steward's at the query, and the worker's clock
\* behind the steward's at the end of the lease.
Fence == Lease + Currency + 2 * Skew - Less

\* lease::Bounds::start_by: latest time, by the worker's clock, at which the attempt may start.
StartBy == recorded + Lease

Init ==
    /\ clock = [p \in Processes |-> 0]
    /\ landed = FALSE /\ known = FALSE
    /\ proof = None /\ question = [at |-> None, lost |-> FALSE]
    /\ state = "idle" /\ until = 0 /\ sent = 0 /\ first = 0
    /\ read = FALSE /\ from = None /\ recorded = None /\ elsewhere = FALSE
    /\ listed = ~ListChanges /\ changed = 0 /\ asked = listed /\ seen = listed
    /\ missing = None /\ since = IF listed THEN -ListLag ELSE None

\* Time advances for some of the processes. Values too old to matter are reset, which keeps the
\* state space finite. No process relies on a reading of the list that is older than its lag.
Tick == \E moving \in SUBSET Processes :
    /\ moving # {}
    /\ LET next == [p \in Processes |-> IF p \in moving THEN clock[p] + 1 ELSE clock[p]]
       IN /\ \A p, q \in Processes : next[p] - next[q] <= Skew
          /\ "s" \in moving /\ clock["s"] - changed >= ListLag => asked = listed /\ seen = listed
          /\ clock' = next
          /\ proof' = IF next["c"] - proof > Currency THEN None ELSE proof
          /\ question' = IF next["c"] - question.at > Currency
                         THEN [at |-> None, lost |-> FALSE] ELSE question
          /\ state' = IF state = "running" /\ until < next["w"] THEN "over" ELSE state
          /\ until' = IF until < next["w"] THEN 0 ELSE until
          /\ sent' = IF sent < next["w"] THEN 0 ELSE sent
          /\ first' = IF first < next["w"] THEN 0 ELSE first
    /\ UNCHANGED <<landed, known, read, from, recorded, elsewhere, list>>

\* Some process appends the loss to the log.
Land ==
    /\ ~landed /\ landed' = TRUE
    /\ UNCHANGED <<clock, known, proof, question, state, until, sent, first, read, from, recorded,
                   elsewhere, list>>

\* Another query is useful only if it can give a newer proof and the loss is not known yet.
MayAsk ==
    /\ question.at # clock["c"] /\ proof # clock["c"]
    /\ ~known \/ "lost" \in Skipped

\* The controller queries the end of the log.
AskLog ==
    /\ MayAsk
    /\ question' = [at |-> clock["c"], lost |-> landed]
    /\ UNCHANGED <<clock, landed, known, proof, state, until, sent, first, read, from, recorded,
                   elsewhere, list>>

\* A peer that left the list is queried until it must have read that itself.
Asks == asked \/ ("departed" \notin Skipped /\ missing # None /\ clock["s"] - missing <= ListLag)

\* In a log outage the controller queries every listed peer instead and uses the newest view.
AskPeers ==
    /\ MayAsk
    /\ question' = [at |-> clock["c"], lost |-> read /\ Asks]
    /\ UNCHANGED <<clock, landed, known, proof, state, until, sent, first, read, from, recorded,
                   elsewhere, list>>

\* The age of a proof counts from the query, not from the answer. Once the loss is known, no proof
\* is valid any more.
Answer ==
    /\ question.at # None
    /\ known' = (known \/ question.lost)
    /\ proof' = IF question.lost THEN (IF "lost" \in Skipped THEN Max(proof, question.at) ELSE None)
                ELSE IF "asked" \in Skipped THEN clock["c"] ELSE Max(proof, question.at)
    /\ question' = [at |-> None, lost |-> FALSE]
    /\ UNCHANGED <<clock, landed, state, until, sent, first, read, from, recorded, elsewhere, list>>

\* currency::Proof::shows
Current == Guard("currency", proof # None) /\ Guard("lost", ~known)

\* Some steward records the attempt.
Record ==
    /\ recorded = None /\ recorded' = clock["s"]
    /\ UNCHANGED <<clock, landed, known, proof, question, state, until, sent, first, read, from,
                   elsewhere, list>>

SendStart ==
    /\ state = "idle" /\ recorded # None /\ Current
    /\ first' = clock["c"] + Lease /\ first' > first
    /\ UNCHANGED <<clock, landed, known, proof, question, state, until, sent, read, from, recorded,
                   elsewhere, list>>

SendRenewal ==
    /\ state = "running"
    /\ Current \/ Separation = "hold"
    /\ sent' = clock["c"] + Lease /\ sent' > sent
    /\ UNCHANGED <<clock, landed, known, proof, question, state, until, first, read, from, recorded,
                   elsewhere, list>>

\* A start order takes effect at most once and not after its deadline.
Start ==
    /\ state = "idle" /\ first > 0
    /\ Guard("start_by", clock["w"] <= StartBy)
    /\ state' = "running" /\ until' = first
    /\ UNCHANGED <<clock, landed, known, proof, question, sent, first, read, from, recorded,
                   elsewhere, list>>

\* A renewal extends the lease of a running attempt; it never starts one.
Renew ==
    /\ sent > until
    /\ state = "running" \/ ("renew" \in Skipped /\ state \in {"idle", "over"})
    /\ state' = "running" /\ until' = sent
    /\ UNCHANGED <<clock, landed, known, proof, question, sent, first, read, from, recorded,
                   elsewhere, list>>

Finish ==
    /\ state = "running" /\ state' = "over" /\ until' = 0
    /\ UNCHANGED <<clock, landed, known, proof, question, sent, first, read, from, recorded,
                   elsewhere, list>>

\* The machine is destroyed.
Die ==
    /\ Separation = "hold" /\ state' = "dead" /\ until' = 0
    /\ UNCHANGED <<clock, landed, known, proof, question, sent, first, read, from, recorded,
                   elsewhere, list>>

\* The steward reads the loss in the log.
Read ==
    /\ landed /\ ~read /\ read' = TRUE
    /\ UNCHANGED <<clock, landed, known, proof, question, state, until, sent, first, from, recorded,
                   elsewhere, list>>

\* The fence starts when the steward has read the loss and every controller must have the steward on
\* its list.
Count ==
    /\ read /\ from = None
    /\ Guard("listed", since # None /\ clock["s"] - since >= ListLag)
    /\ from' = clock["s"]
    /\ UNCHANGED <<clock, landed, known, proof, question, state, until, sent, first, read, recorded,
                   elsewhere, list>>

\* attempt::View::rule: the next attempt is recorded, and is assumed to start elsewhere at once.
Fenced ==
    /\ Guard("hold", Separation = "move")
    /\ from # None /\ clock["s"] - from > Fence
    /\ Guard("placed", clock["s"] > StartBy + Skew)
Place ==
    /\ ~elsewhere /\ recorded # None
    /\ Fenced \/ state = "over" \/ (state = "dead" /\ Separation = "hold")
    /\ elsewhere' = TRUE
    /\ UNCHANGED <<clock, landed, known, proof, question, state, until, sent, first, read, from,
                   recorded, list>>

\* The steward is added to the list or removed from it, whether or not it runs. A change is assumed
\* to last until every process has read it. If an entry came and went faster than the lag, every
\* reading of the steward might have it and every reading of the controller might not.
Change ==
    /\ ListChanges /\ asked = listed /\ seen = listed /\ listed' = ~listed /\ changed' = clock["s"]
    /\ UNCHANGED <<clock, landed, known, proof, question, state, until, sent, first, read, from,
                   recorded, elsewhere, asked, missing, seen, since>>

\* The controller reads the list.
ControllerReads ==
    /\ asked # listed /\ asked' = listed
    /\ missing' = IF listed THEN None ELSE clock["s"]
    /\ UNCHANGED <<clock, landed, known, proof, question, state, until, sent, first, read, from,
                   recorded, elsewhere, listed, changed, seen, since>>

\* The steward reads the list. If it is missing there, its fence must start anew.
StewardReads ==
    /\ seen # listed /\ seen' = listed
    /\ since' = IF listed THEN clock["s"] ELSE None
    /\ from' = IF listed THEN from ELSE None
    /\ UNCHANGED <<clock, landed, known, proof, question, state, until, sent, first, read, recorded,
                   elsewhere, listed, changed, asked, missing>>

\* After the attempt has ended no invariant can be violated, so exploration stops there, except for
\* the mutant in which a renewal starts an attempt.
Decided == state \in {"over", "dead"} /\ "renew" \notin Skipped

Next == ~Decided /\ (
    \/ Tick \/ Land \/ AskLog \/ AskPeers \/ Answer \/ SendStart \/ SendRenewal
    \/ Record \/ Start \/ Renew \/ Finish \/ Die \/ Read \/ Count \/ Place
    \/ Change \/ ControllerReads \/ StewardReads)

\* The task never runs on two workers.
OnePlace == ~(elsewhere /\ state = "running")

\* State view for the checker: only the distance of times from now matters, and all times long past
\* are equivalent.
Ago(t, bound) == IF t = None THEN None
                 ELSE IF clock["s"] - t > bound THEN bound + 1 ELSE clock["s"] - t
Ahead(t) == IF t = 0 THEN 0 ELSE t - clock["s"] + 10
Relative ==
    <<clock["c"] - clock["s"], clock["w"] - clock["s"], landed, known,
      IF proof = None THEN None ELSE clock["c"] - proof,
      IF question.at = None THEN None ELSE clock["c"] - question.at, question.lost,
      state, Ahead(until), Ahead(sent), Ahead(first), read, Ago(from, Fence), elsewhere,
      listed, IF asked = listed /\ seen = listed THEN 0 ELSE Ago(changed, ListLag), asked, Ago(missing, ListLag), seen, Ago(since, ListLag),
      Ago(recorded, Lease + 2 * Skew)>>
=========================================================================
