---------------------------- MODULE attempt ----------------------------
\* One attempt of a task under a lease, the loss of its worker, and when the task may be placed
\* elsewhere: outage of the log, separation of regions, and the lag of the instance list.
\*
\* Code that follows this specification: crates/core/src/machine/lease.rs (the bounds),
\* crates/core/src/ledger/currency.rs (the proof), crates/core/src/ledger/attempt.rs (when a task
\* may be placed again), crates/core/src/machine/adoption.rs (which leases are renewed),
\* crates/core/src/machine/arbiter.rs (the worker) and crates/core/src/zone/membership.rs.
\*
\* Three processes with a clock each: the controller "c", the steward "s" that wants to place the
\* task elsewhere, and the worker "w". Any two clocks differ by at most Skew at any instant; within
\* that each may run fast or slow. Pauses, outages of the log and separations are steps that are
\* not taken: an answer may be delivered late or never. The list is modelled as far as it matters:
\* whether the steward is on it, and whether controller and steward have read that.
EXTENDS Integers

CONSTANTS
    Lease, Currency, Skew,  \* the bounds, in ticks
    Less,                   \* ticks by which the fence is too short; 0 for the protocol
    ListLag,                \* the longest lag of the list, in ticks
    ListChanges,            \* whether the steward joins and leaves the list
    Separation,             \* "move" or "hold"
    Skipped                 \* guards that are left out; {} for the protocol

VARIABLES
    clock,      \* clock[p]
    landed,     \* whether the loss is in the log
    known,      \* whether the controller has read the loss
    proof,      \* when the controller asked for its newest proof that no loss is in force
    question,   \* a question of the controller and the answer on its way
    state,      \* the attempt on the worker: "idle", "running", "over" or "dead"
    until,      \* end of its lease
    sent,       \* end of the longest renewal that was sent
    first,      \* end of the lease in the start order, 0 before it is sent
    read,       \* whether the steward has read the loss
    from,       \* since when the steward counts the fence
    recorded,   \* when the attempt was recorded
    elsewhere,  \* whether the next attempt runs elsewhere
    listed, changed,    \* whether the steward is on the list, and since when
    asked, missing,     \* whether the controller sees it there, and since when it doesn't
    seen, since         \* whether the steward sees itself there, and since when it does

list == <<listed, changed, asked, missing, seen, since>>
vars == <<clock, landed, known, proof, question, state, until, sent, first, read, from, recorded,
          elsewhere, list>>

None == -1
Processes == {"c", "s", "w"}
Guard(name, condition) == name \in Skipped \/ condition
Max(a, b) == IF a > b THEN a ELSE b

\* lease::Bounds::fence. The proof is asked for before the steward reads the loss; it is used for
\* Currency, the lease that rests on it runs for Lease. The controller's clock may be ahead of the
\* steward's when it asks, and the worker's behind the steward's when the lease ends: twice Skew.
Fence == Lease + Currency + 2 * Skew - Less

\* lease::Bounds::start_by: the attempt starts by this instant of the worker's clock or never.
StartBy == recorded + Lease

Init ==
    /\ clock = [p \in Processes |-> 0]
    /\ landed = FALSE /\ known = FALSE
    /\ proof = None /\ question = [at |-> None, lost |-> FALSE]
    /\ state = "idle" /\ until = 0 /\ sent = 0 /\ first = 0
    /\ read = FALSE /\ from = None /\ recorded = None /\ elsewhere = FALSE
    /\ listed = ~ListChanges /\ changed = 0 /\ asked = listed /\ seen = listed
    /\ missing = None /\ since = IF listed THEN -ListLag ELSE None

\* Time passes for some of the processes. What is too old to matter is forgotten, which keeps the
\* number of states finite. Nobody relies on a reading of the list that is older than its lag.
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

\* The loss is appended, by whomever, and lands.
Land ==
    /\ ~landed /\ landed' = TRUE
    /\ UNCHANGED <<clock, known, proof, question, state, until, sent, first, read, from, recorded,
                   elsewhere, list>>

\* Asking again is of use while nothing newer is known.
MayAsk ==
    /\ question.at # clock["c"] /\ proof # clock["c"]
    /\ ~known \/ "lost" \in Skipped

\* The controller reads the log's tail.
AskLog ==
    /\ MayAsk
    /\ question' = [at |-> clock["c"], lost |-> landed]
    /\ UNCHANGED <<clock, landed, known, proof, state, until, sent, first, read, from, recorded,
                   elsewhere, list>>

\* A peer that left the list is asked until it must have read so itself.
Asks == asked \/ ("departed" \notin Skipped /\ missing # None /\ clock["s"] - missing <= ListLag)

\* In an outage the controller asks every listed peer instead; the newest view of all counts.
AskPeers ==
    /\ MayAsk
    /\ question' = [at |-> clock["c"], lost |-> read /\ Asks]
    /\ UNCHANGED <<clock, landed, known, proof, state, until, sent, first, read, from, recorded,
                   elsewhere, list>>

\* The proof is as old as the question, not as the answer. Once the loss is known nothing rests on
\* a proof any more.
Answer ==
    /\ question.at # None
    /\ known' = (known \/ question.lost)
    /\ proof' = IF question.lost THEN (IF "lost" \in Skipped THEN Max(proof, question.at) ELSE None)
                ELSE IF "asked" \in Skipped THEN clock["c"] ELSE Max(proof, question.at)
    /\ question' = [at |-> None, lost |-> FALSE]
    /\ UNCHANGED <<clock, landed, state, until, sent, first, read, from, recorded, elsewhere, list>>

\* currency::Proof::shows
Current == Guard("currency", proof # None) /\ Guard("lost", ~known)

\* The attempt is recorded, by whatever steward.
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

\* A start order takes effect once, in time.
Start ==
    /\ state = "idle" /\ first > 0
    /\ Guard("start_by", clock["w"] <= StartBy)
    /\ state' = "running" /\ until' = first
    /\ UNCHANGED <<clock, landed, known, proof, question, sent, first, read, from, recorded,
                   elsewhere, list>>

\* A renewal extends the lease of a running attempt and never starts one.
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

\* The steward reads the loss in force.
Read ==
    /\ landed /\ ~read /\ read' = TRUE
    /\ UNCHANGED <<clock, landed, known, proof, question, state, until, sent, first, from, recorded,
                   elsewhere, list>>

\* It counts the fence from when it read the loss, or from when every controller must have it on
\* its list, whichever is later.
Count ==
    /\ read /\ from = None
    /\ Guard("listed", since # None /\ clock["s"] - since >= ListLag)
    /\ from' = clock["s"]
    /\ UNCHANGED <<clock, landed, known, proof, question, state, until, sent, first, read, recorded,
                   elsewhere, list>>

\* attempt::View::rule: the next attempt is recorded, and starts elsewhere at once.
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

\* The steward joins the list, or leaves it, rightly or wrongly. It is assumed that a change lasts
\* until everybody has read it; with an entry that comes and goes faster than the lag, a steward
\* could see itself there and a controller not, each time they look.
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

\* The steward reads the list; once it is missing there, it counts anew.
StewardReads ==
    /\ seen # listed /\ seen' = listed
    /\ since' = IF listed THEN clock["s"] ELSE None
    /\ from' = IF listed THEN from ELSE None
    /\ UNCHANGED <<clock, landed, known, proof, question, state, until, sent, first, read, recorded,
                   elsewhere, listed, changed, asked, missing>>

\* Once the attempt is over for good, nothing can break any more; a renewal that starts something
\* is the exception.
Decided == state \in {"over", "dead"} /\ "renew" \notin Skipped

Next == ~Decided /\ (
    \/ Tick \/ Land \/ AskLog \/ AskPeers \/ Answer \/ SendStart \/ SendRenewal
    \/ Record \/ Start \/ Renew \/ Finish \/ Die \/ Read \/ Count \/ Place
    \/ Change \/ ControllerReads \/ StewardReads)

\* The task never runs in two places.
OnePlace == ~(elsewhere /\ state = "running")

\* Instants matter only by their distance from now; those long past are alike.
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
