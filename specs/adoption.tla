---------------------------- MODULE adoption ----------------------------
\* Ownership of one worker by racing controllers, and the attempts of one task on it.
\*
\* Code that follows this specification: crates/core/src/machine/arbiter.rs (the worker's guards),
\* crates/core/src/machine/adoption.rs (the controller) and crates/core/src/ledger/attempt.rs
\* (when an attempt is over).
\*
\* Messages are never removed from `orders`, `requests` and `reports`, so each of them may be
\* delayed for as long as one likes and delivered any number of times. A controller that pauses is
\* one that acts on an old report; nothing forbids it here.
EXTENDS Naturals, Sequences, FiniteSets

CONSTANTS
    Controllers,    \* the instances that want the worker
    MaxEpoch,       \* adoptions that are explored
    MaxAttempt,     \* attempts of the task that are explored
    Skipped         \* guards that are left out; {} for the protocol, one of them for a mutant

VARIABLES
    epoch,          \* the worker's present epoch
    running,        \* the attempt that runs on the worker, 0 for none
    past,           \* attempts that the worker has ended
    ended,          \* ended attempts that were not acknowledged yet
    completed,      \* attempts that ran to their end
    held,           \* held[c]: the epoch that c believes to hold, 0 for none
    record,         \* record[n]: epoch in the ledger's record of attempt n
    over,           \* over[n]: how attempt n ended, as the ledger has it
    requests,       \* adoption requests
    orders,         \* orders that were sent
    reports,        \* inventories that were sent
    breach          \* whether an order or a request took effect that must not have

vars == <<epoch, running, past, ended, completed, held, record, over, requests, orders, reports,
          breach>>

Guard(name, condition) == name \in Skipped \/ condition

Report(e, c) == [epoch |-> e, owner |-> c, running |-> running, ended |-> ended]

Init ==
    /\ epoch = 0 /\ running = 0 /\ past = {} /\ ended = {} /\ completed = {}
    /\ held = [c \in Controllers |-> 0]
    /\ record = <<>> /\ over = <<>>
    /\ requests = {} /\ orders = {} /\ breach = FALSE
    /\ reports = {[epoch |-> 0, owner |-> "none", running |-> 0, ended |-> {}]}

\* A controller asks for the worker, on the strength of any report that it has seen.
Request(c) == \E m \in reports :
    /\ m.epoch < MaxEpoch
    /\ requests' = requests \cup {[from |-> c, expected |-> m.epoch]}
    /\ requests' # requests
    /\ UNCHANGED <<epoch, running, past, ended, completed, held, record, over, orders, reports,
                   breach>>

\* The worker takes the request if the epoch that it names is the present one.
Adopt == \E r \in requests :
    /\ epoch < MaxEpoch
    /\ Guard("compare", r.expected = epoch)
    /\ epoch' = epoch + 1
    /\ reports' = reports \cup {Report(epoch + 1, r.from)}
    /\ breach' = (breach \/ r.expected # epoch)
    /\ UNCHANGED <<running, past, ended, completed, held, record, over, requests, orders>>

\* The answer to an adoption arrives at its controller.
Adopted(c) == \E m \in reports :
    /\ m.owner = c /\ m.epoch > held[c]
    /\ held' = [held EXCEPT ![c] = m.epoch]
    /\ UNCHANGED <<epoch, running, past, ended, completed, record, over, requests, orders, reports,
                   breach>>

\* The ledger takes the next attempt once the one before is over.
Place(c) ==
    /\ held[c] > 0 /\ Len(record) < MaxAttempt /\ Len(over) = Len(record)
    /\ Len(over) = 0 \/ over[Len(over)] = "evicted"
    /\ record' = Append(record, held[c])
    /\ UNCHANGED <<epoch, running, past, ended, completed, held, over, requests, orders, reports,
                   breach>>

\* A start order carries the sender's epoch and the epoch of the attempt's record.
SendStart(c) ==
    /\ held[c] > 0 /\ Len(record) > Len(over)
    /\ LET n == Len(record)
           order == [action |-> "start", sender |-> held[c], attempt |-> n,
                     record |-> IF "record" \in Skipped THEN held[c] ELSE record[n]]
       IN orders' = orders \cup {order} /\ order \notin orders
    /\ UNCHANGED <<epoch, running, past, ended, completed, held, record, over, requests, reports,
                   breach>>

SendStop(c) == \E m \in reports :
    /\ m.owner = c /\ m.epoch = held[c] /\ m.running > 0
    /\ LET order == [action |-> "stop", sender |-> held[c], attempt |-> m.running, record |-> 0]
       IN orders' = orders \cup {order} /\ order \notin orders
    /\ UNCHANGED <<epoch, running, past, ended, completed, held, record, over, requests, reports,
                   breach>>

\* The worker takes an order, if its guards let it.
Start == \E o \in orders :
    /\ o.action = "start"
    /\ Guard("sender", o.sender = epoch)
    /\ Guard("start", o.record = epoch)
    /\ running = 0
    /\ Guard("past", o.attempt \notin past)
    /\ running' = o.attempt
    /\ breach' = (breach \/ o.sender # epoch \/ o.attempt \in past)
    /\ UNCHANGED <<epoch, past, ended, completed, held, record, over, requests, orders, reports>>

Stop == \E o \in orders :
    /\ o.action = "stop" /\ running = o.attempt
    /\ Guard("sender", o.sender = epoch)
    /\ running' = 0 /\ past' = past \cup {o.attempt}
    /\ breach' = (breach \/ o.sender # epoch)
    /\ UNCHANGED <<epoch, ended, completed, held, record, over, requests, orders, reports>>

\* The attempt runs to its end.
Complete ==
    /\ running > 0
    /\ past' = past \cup {running} /\ ended' = ended \cup {running}
    /\ completed' = completed \cup {running}
    /\ running' = 0
    /\ UNCHANGED <<epoch, held, record, over, requests, orders, reports, breach>>

\* The worker reports to its controller.
Heartbeat ==
    /\ epoch > 0
    /\ \E m \in reports : m.epoch = epoch
        /\ LET report == Report(epoch, m.owner)
           IN reports' = reports \cup {report} /\ report \notin reports
    /\ UNCHANGED <<epoch, running, past, ended, completed, held, record, over, requests, orders,
                   breach>>

\* The ledger is told that the attempt is over, by the worker's own word.
Over == \E m \in reports :
    /\ Len(record) > Len(over)
    /\ LET n == Len(record)
       IN \/ /\ n \in m.ended
             /\ over' = Append(over, "completed")
          \/ /\ n \notin m.ended /\ m.running # n
             /\ Guard("newer", m.epoch > record[n])
             /\ over' = Append(over, "evicted")
    /\ UNCHANGED <<epoch, running, past, ended, completed, held, record, requests, orders, reports,
                   breach>>

\* The worker forgets a report that the ledger has.
Acknowledge == \E n \in ended :
    /\ Guard("acknowledge", n <= Len(over))
    /\ ended' = ended \ {n}
    /\ UNCHANGED <<epoch, running, past, completed, held, record, over, requests, orders, reports,
                   breach>>

Next ==
    \/ \E c \in Controllers :
        Request(c) \/ Adopted(c) \/ Place(c) \/ SendStart(c) \/ SendStop(c)
    \/ Adopt \/ Start \/ Stop \/ Complete \/ Heartbeat \/ Over \/ Acknowledge

\* A running attempt is never recorded as over, so that it may not be placed elsewhere.
OnePlace == running > 0 => running > Len(over)

\* What a former controller sent takes no effect; an adoption request takes effect at most once,
\* and never over an adoption that its sender has not seen.
Obeyed == ~breach

\* What ran to its end is not recorded as evicted, so that it doesn't run again.
Kept == \A n \in 1..Len(over) : over[n] = "evicted" => n \notin completed

=========================================================================
