------------------------- MODULE configuration -------------------------
\* Numbered configurations: patches that race, snapshots, retention, views from peers, outages of
\* the log, deaths and replacements.
\*
\* Code that follows this specification: crates/core/src/ledger/history.rs (replay and merge),
\* crates/core/src/ledger/snapshot.rs, crates/core/src/ledger/currency.rs (the proof) and
\* crates/core/src/contract/configuration.rs (patches).
EXTENDS Integers, Sequences

CONSTANTS
    Instances,
    MaxLog,     \* patches that are explored
    MaxTime,    \* ticks that are explored
    Storage,    \* whether snapshots are stored and the log forgets, instead of time and proofs
    Deaths,     \* whether an instance may die, one at a time
    Term,       \* age of the proof with which an instance takes work, in ticks
    Skipped     \* guards that are left out; {} for the protocol

VARIABLES
    now,
    up,         \* whether the log can be read and written
    log,        \* the patches: the version on which each rests
    way,        \* patches that may land: one per operator
    trimmed,    \* what is before this offset is no longer kept
    snapshots,  \* views that were stored
    alive,
    view,       \* view[i]: next offset, accepted patches in order, instant of the proof
    letter,     \* letter[i]: a view that is on its way from a peer to i
    told,       \* the greatest version that an operator was told to be accepted, and when
    back,       \* whether an instance went back to a lower version
    late        \* whether work was taken under a version that should be in force no more

vars == <<now, up, log, way, trimmed, snapshots, alive, view, letter, told, back, late>>

None == -1
Guard(name, condition) == name \in Skipped \/ condition
Max(a, b) == IF a > b THEN a ELSE b

Empty == [next |-> 0, chain |-> <<>>, proof |-> None]
Version(v) == Len(v.chain)

\* History::apply: the patch is accepted when it rests on the current version.
Apply(v, k) ==
    [v EXCEPT !.next = k,
              !.chain = IF Guard("expect", log[k].base = Len(v.chain)) THEN Append(v.chain, k)
                        ELSE v.chain]

\* What an instance makes of a view from elsewhere: it takes it if it is newer. A proof that came
\* along holds for a view that has taken in as much.
Merge(own, other) ==
    LET newer == Guard("monotone", other.next > own.next)
        merged == IF newer THEN [other EXCEPT !.proof = own.proof] ELSE own
    IN IF other.next <= merged.next /\ other.proof > merged.proof
       THEN [merged EXCEPT !.proof = other.proof] ELSE merged

\* An instance takes over a view.
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

\* The log goes down for good; what comes before it is the time when it is up.
GoDown ==
    /\ ~Storage /\ up /\ up' = FALSE
    /\ UNCHANGED <<now, log, way, trimmed, snapshots, alive, view, letter, told, back, late>>

\* An operator sends a patch through an instance, which checks the base against its own view.
Patch(i) ==
    /\ alive[i] /\ Len(log) < MaxLog
    /\ way' = way \cup {[base |-> Version(view[i])]}
    /\ way' # way
    /\ UNCHANGED <<now, up, log, trimmed, snapshots, alive, view, letter, told, back, late>>

\* It lands, at once or late, and once more if an operator repeats it.
Land == \E r \in way :
    /\ up /\ Len(log) < MaxLog
    /\ log' = Append(log, r)
    /\ UNCHANGED <<now, up, way, trimmed, snapshots, alive, view, letter, told, back, late>>

\* The next record is read. What was trimmed can't be read: without the check for the gap, the
\* reader would go on with what is left.
Read(i) ==
    /\ alive[i] /\ up
    /\ LET k == Max(view[i].next, trimmed) + 1
       IN /\ k <= Len(log)
          /\ Guard("gap", view[i].next >= trimmed)
          /\ Take(i, Apply(view[i], k))
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, alive, letter, told, late>>

\* The log says that the stream ends where the view is.
Prove(i) ==
    /\ ~Storage /\ alive[i] /\ up /\ view[i].next = Len(log)
    /\ view' = [view EXCEPT ![i].proof = now]
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, alive, letter, told, back, late>>

\* A snapshot is stored; it carries no proof.
Store(i) ==
    /\ Storage /\ alive[i] /\ up /\ view[i].next > 0
    /\ snapshots' = snapshots \cup {[view[i] EXCEPT !.proof = None]}
    /\ snapshots' # snapshots
    /\ UNCHANGED <<now, up, log, way, trimmed, alive, view, letter, told, back, late>>

\* Any snapshot may be found first, also an old one.
Restore(i) == \E s \in snapshots :
    /\ alive[i] /\ up
    /\ Take(i, Merge(view[i], s))
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, alive, letter, told, late>>

\* The log forgets what a snapshot covers.
Trim == \E k \in 1..Len(log) :
    /\ k > trimmed /\ \E s \in snapshots : s.next >= k
    /\ trimmed' = k
    /\ UNCHANGED <<now, up, log, way, snapshots, alive, view, letter, told, back, late>>

\* A peer's view travels.
Mail(i) == \E j \in Instances \ {i} :
    /\ alive[j] /\ view[j] # Empty /\ letter' = [letter EXCEPT ![i] = view[j]]
    /\ letter' # letter
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, alive, view, told, back, late>>
Receive(i) ==
    /\ alive[i] /\ letter[i] # Empty
    /\ Take(i, Merge(view[i], IF "forwarded" \in Skipped THEN [letter[i] EXCEPT !.proof = now]
                              ELSE letter[i]))
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, alive, letter, told, late>>

\* In an outage: all peers were asked now, and the newest view of all is taken. (Who must be asked
\* while the list lags is the matter of attempt.tla.) Somebody among them must have been current
\* once: an instance that has just started knows nothing.
Poll(i) ==
    /\ alive[i] /\ ~up
    /\ LET peers == {j \in Instances : alive[j]}
           newest == CHOOSE j \in peers : \A k \in peers : view[k].next <= view[j].next
       IN /\ Guard("newcomer", \E j \in peers : view[j].proof # None)
          /\ Take(i, [Merge(view[i], view[newest]) EXCEPT !.proof = now])
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, alive, letter, told, late>>

\* The operator is told that the patch is accepted, once another instance has read it too. Without
\* that, the only one that knows may die while the log is down.
Tell(i) ==
    /\ ~Storage /\ alive[i] /\ Version(view[i]) > told.version
    /\ Guard("second", ~Deaths \/ \E j \in Instances \ {i} :
                           alive[j] /\ Version(view[j]) >= Version(view[i]))
    /\ told' = [version |-> Version(view[i]), at |-> now]
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, alive, view, letter, back, late>>

\* New work is taken under the version of the view, if it is shown to be current.
Work(i) ==
    /\ alive[i]
    /\ Guard("term", view[i].proof # None /\ now - view[i].proof <= Term)
    /\ late' = (late \/ (told.version > Version(view[i]) /\ now - told.at > Term))
    /\ late' # late
    /\ UNCHANGED <<now, up, log, way, trimmed, snapshots, alive, view, letter, told, back>>

\* One instance dies; another takes its place, and knows nothing.
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

\* Two views of the same offset are equal, and each version rests on its predecessor: of the
\* patches that race for one version exactly one is accepted.
Agree == \A i, j \in Instances : view[i].next = view[j].next => view[i].chain = view[j].chain
OneEach == \A i \in Instances : \A n \in 1..Len(view[i].chain) : log[view[i].chain[n]].base = n - 1

\* A version that was accepted longer ago than the term is in force wherever work is taken.
InForce == ~late
=========================================================================
