---------------------------- MODULE ends ----------------------------
\* Ends of runs on a worker that restarts under its name, and their acknowledgement.
\*
\* Code that follows this specification: platform/src/workers/link.rs (connections) and
\* crates/core/src/contract/owner/poll.rs (records and acknowledgements).
\*
\* Each incarnation numbers its ends from 1 and discards them up to the highest number that it was told,
\* also those that it makes later. An acknowledgement may take effect at any later time and more than once.
\* The worker can't tell for which incarnation it was meant; only the connection can.
EXTENDS Naturals

CONSTANTS
    MaxLife,    \* bound of the incarnations
    MaxEnd,     \* bound of the ends of one incarnation
    Skipped     \* disabled guards: {} for the protocol

VARIABLES
    life,       \* the present incarnation
    ends,       \* number of its ends
    mark,       \* it discards its ends up to this number
    known,      \* known[l]: number of ends of incarnation l that the owner has read
    recorded,   \* recorded[l]: number of ends of incarnation l that are in the log
    way         \* acknowledgements in transit; none is ever removed

vars == <<life, ends, mark, known, recorded, way>>

Guard(name, condition) == name \in Skipped \/ condition

Lives == 1..MaxLife

Init ==
    /\ life = 1 /\ ends = 0 /\ mark = 0 /\ way = {}
    /\ known = [l \in Lives |-> 0]
    /\ recorded = [l \in Lives |-> 0]

\* A run ends.
End ==
    /\ ends < MaxEnd
    /\ ends' = ends + 1
    /\ UNCHANGED <<life, mark, known, recorded, way>>

\* The worker starts again, and its numbers start anew.
Restart ==
    /\ life < MaxLife
    /\ life' = life + 1 /\ ends' = 0 /\ mark' = 0
    /\ UNCHANGED <<known, recorded, way>>

\* The owner reads the worker's report, which says which incarnation it is from.
Report ==
    /\ known' = [known EXCEPT ![life] = ends]
    /\ UNCHANGED <<life, ends, mark, recorded, way>>

Record(l) ==
    /\ recorded[l] < known[l]
    /\ recorded' = [recorded EXCEPT ![l] = known[l]]
    /\ UNCHANGED <<life, ends, mark, known, way>>

\* An owner, possibly one that knows no later incarnation yet, acknowledges the ends of an incarnation.
Acknowledge(l) ==
    /\ known[l] > 0
    /\ Guard("recorded", known[l] <= recorded[l])
    /\ way' = way \cup {[on |-> l, number |-> known[l]]}
    /\ UNCHANGED <<life, ends, mark, known, recorded>>

\* An acknowledgement arrives on a connection to the incarnation that it was meant for.
Arrive(a) ==
    /\ Guard("connection", a.on = life)
    /\ mark' = IF a.number > mark THEN a.number ELSE mark
    /\ UNCHANGED <<life, ends, known, recorded, way>>

Next ==
    \/ End \/ Restart \/ Report
    \/ \E l \in Lives : Record(l) \/ Acknowledge(l)
    \/ \E a \in way : Arrive(a)

\* No end is discarded before it is in the log; its run would count as lost.
Kept == \A n \in 1..ends : n <= mark => n <= recorded[life]
=====================================================================
