---------------------------- MODULE adoption ----------------------------
\* Ownership of one worker by competing controllers, and the attempts of one task on it.
\*
\* Code that follows this specification: crates/core/src/machine/arbiter.rs (the worker's guards),
\* crates/core/src/machine/adoption.rs (the controller) and crates/core/src/ledger/attempt.rs
\* (when an attempt is over).
\*
\* Messages are never removed from `orders`, `requests` and `reports`, so each of them may be
\* delayed arbitrarily and delivered any number of times. Acting on an old report models a
\* controller that was paused.
EXTENDS Naturals, Sequences, FiniteSets

CONSTANTS
    Controllers,    \* instances that try to adopt the worker
    MaxEpoch,       \* bound of the number of adoptions
    MaxAttempt,     \* bound of the number of attempts of the task
    Skipped         \* disabled guards: {} for the protocol, one guard for a mutant

VARIABLES
    epoch,          \* the worker's current epoch
    running,        \* the attempt running on the worker, 0 for none
    past,           \* attempts that the worker has ended
    ended,          \* ended attempts not yet acknowledged
    completed,      \* attempts that ran to completion
    held,           \* held[c]: the epoch that c believes it holds, 0 for none
    record,         \* record[n]: epoch in the ledger's record of attempt n
    over,           \* over[n]: how attempt n ended according to the ledger
    requests,       \* adoption requests
    orders,         \* orders sent
    reports,        \* inventories sent
    breach          \* whether an invalid order or request took effect

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

\* A controller requests the worker, naming the epoch of any report that it has seen.
Request(c) == \E m \in reports :
    /\ m.epoch < MaxEpoch
    /\ requests' = requests \cup {[from |-> c, expected |-> m.epoch]}
    /\ requests' # requests
    /\ UNCHANGED <<epoch, running, past, ended, completed, held, record, over, orders, reports,
                   breach>>

\* The worker accepts the request if the epoch that it names is the current one.
Adopt == \E r \in requests :
    /\ epoch < MaxEpoch
    /\ Guard("compare", r.expected = epoch)
    /\ epoch' = epoch + 1
    /\ reports' = reports \cup {Report(epoch + 1, r.from)}
    /\ breach' = (breach \/ r.expected # epoch)
    /\ UNCHANGED <<running, past, ended, completed, held, record, over, requests, orders>>

\* The controller receives the answer to its adoption request.
Adopted(c) == \E m \in reports :
    /\ m.owner = c /\ m.epoch > held[c]
    /\ held' = [held EXCEPT ![c] = m.epoch]
    /\ UNCHANGED <<epoch, running, past, ended, completed, record, over, requests, orders, reports,
                   breach>>

\* The next attempt is recorded in the ledger once the previous one was evicted.
Place(c) ==
    /\ held[c] > 0 /\ Len(record) < MaxAttempt /\ Len(over) = Len(record)
    /\ Len(over) = 0 \/ over[Len(over)] = "evicted"
    /\ record' = Append(record, held[c])
    /\ UNCHANGED <<epoch, running, past, ended, completed, held, over, requests, orders, reports,
                   breach>>

\* A start order carries the sender's epoch and the epoch in the attempt's record.
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

\* The worker executes an order that passes its guards.
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

\* The attempt runs to completion.
Complete ==
    /\ running > 0
    /\ past' = past \cup {running} /\ ended' = ended \cup {running}
    /\ completed' = completed \cup {running}
    /\ running' = 0
    /\ UNCHANGED <<epoch, held, record, over, requests, orders, reports, breach>>

\* The worker reports its inventory to its controller.
Heartbeat ==
    /\ epoch > 0
    /\ \E m \in reports : m.epoch = epoch
        /\ LET report == Report(epoch, m.owner)
           IN reports' = reports \cup {report} /\ report \notin reports
    /\ UNCHANGED <<epoch, running, past, ended, completed, held, record, over, requests, orders,
                   breach>>

\* The end of the attempt is recorded on the evidence of a report: the report lists it as ended, or
\* it comes from a newer epoch and doesn't list it.
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

\* The worker drops an ended attempt whose end the ledger has.
Acknowledge == \E n \in ended :
    /\ Guard("acknowledge", n <= Len(over))
    /\ ended' = ended \ {n}
    /\ UNCHANGED <<epoch, running, past, completed, held, record, over, requests, orders, reports,
                   breach>>

Next ==
    \/ \E c \in Controllers :
        Request(c) \/ Adopted(c) \/ Place(c) \/ SendStart(c) \/ SendStop(c)
    \/ Adopt \/ Start \/ Stop \/ Complete \/ Heartbeat \/ Over \/ Acknowledge

\* A running attempt is never recorded as over; if it were, it could be placed elsewhere.
OnePlace == running > 0 => running > Len(over)

\* Orders of a former controller have no effect. An adoption request takes effect at most once, and
\* never after an adoption that its sender has not seen.
Obeyed == ~breach

\* A completed attempt is never recorded as evicted; if it were, the task would run again.
Kept == \A n \in 1..Len(over) : over[n] = "evicted" => n \notin completed

=========================================================================
