---------------------------- MODULE claim ----------------------------
\* The claim of the key of one non-idempotent request that is submitted at several instances.
\*
\* Code that follows this specification: crates/core/src/ledger/append.rs (outcome of an append),
\* crates/core/src/ledger/book.rs (first claim wins, expiry) and
\* crates/core/src/contract/steward/ask.rs (who may send).
\*
\* An append may take effect at once, late, never, or twice if a client library retries it, and its
\* answer may be lost. An instance that dies restarts under another name and without state.
EXTENDS Naturals, Sequences

CONSTANTS
    Instances,
    MaxLog,     \* bound of the number of records
    MaxAge,     \* bound of the number of advances of the window
    Skipped     \* disabled guards: {} for the protocol

VARIABLES
    log,        \* claims in the stream: writer, time of writing, and whether in force
    way,        \* appends in transit; only a refusal removes them
    state,      \* state[i]: "idle", "sent", "doubt", "refused" or "dead"
    view,       \* view[i]: number of records that i has read
    sent,       \* sent[i]: how many times i sent the request to a runner
    told,       \* told[i]: what i told its caller
    age,        \* start of the window: claims written before it have expired
    answered    \* whether the answer is recorded

vars == <<log, way, state, view, sent, told, age, answered>>

Guard(name, condition) == name \in Skipped \/ condition

\* Book::apply: a claim is in force if, at its position in the stream, no other unexpired claim is
\* and it isn't older than the window. The window, too, is a function of the stream.
Present(n) == {k \in 1..n : log[k].live /\ log[k].at >= age}
Won(i) == \E k \in 1..view[i] : log[k].by = i /\ log[k].live

Init ==
    /\ log = <<>> /\ way = {} /\ age = 0 /\ answered = FALSE
    /\ state = [i \in Instances |-> "idle"]
    /\ view = [i \in Instances |-> 0]
    /\ sent = [i \in Instances |-> 0]
    /\ told = [i \in Instances |-> "nothing"]

\* A caller submits the request, which was issued when age was 0.
Ask(i) ==
    /\ state[i] = "idle" /\ Present(view[i]) = {}
    /\ Guard("window", age = 0)
    /\ state' = [state EXCEPT ![i] = "sent"]
    /\ way' = way \cup {[by |-> i, at |-> age]}
    /\ UNCHANGED <<log, view, sent, told, age, answered>>

\* A caller submits the request when the key is already claimed, and is told the known outcome.
AskAgain(i) ==
    /\ state[i] = "idle" /\ Present(view[i]) # {}
    /\ told' = [told EXCEPT ![i] = IF answered THEN "answer" ELSE "unknown"]
    /\ UNCHANGED <<log, way, state, view, sent, age, answered>>

\* An append takes effect. The claim is in force if no other is and it isn't older than the window.
Land == \E r \in way :
    /\ Len(log) < MaxLog
    /\ LET live == /\ Present(Len(log)) = {}
                   /\ Guard("expired", r.at >= age)
       IN log' = Append(log, [by |-> r.by, at |-> r.at, live |-> live])
    /\ UNCHANGED <<way, state, view, sent, told, age, answered>>

\* The log answers that the record was not appended and never will be.
Refuse(i) ==
    /\ state[i] = "sent" /\ \A k \in 1..Len(log) : log[k].by # i
    /\ way' = {r \in way : r.by # i}
    /\ state' = [state EXCEPT ![i] = "refused"]
    /\ told' = [told EXCEPT ![i] = "not run"]
    /\ UNCHANGED <<log, view, sent, age, answered>>

\* The append times out. The caller is told "unknown", never "not run".
TimeOut(i) ==
    /\ state[i] = "sent"
    /\ state' = [state EXCEPT ![i] = IF "doubt" \in Skipped THEN "refused" ELSE "doubt"]
    /\ told' = [told EXCEPT ![i] = IF "doubt" \in Skipped THEN "not run" ELSE "unknown"]
    /\ UNCHANGED <<log, way, view, sent, age, answered>>

Read(i) ==
    /\ view[i] < Len(log) /\ state[i] # "dead"
    /\ view' = [view EXCEPT ![i] = view[i] + 1]
    /\ UNCHANGED <<log, way, state, sent, told, age, answered>>

\* The request is sent after the instance has read its own claim back from the log as the one in
\* force. The mutant without the read-back sends it as soon as the append has succeeded.
Landed(i) == \E k \in 1..Len(log) : log[k].by = i
Send(i) ==
    /\ state[i] \in {"sent", "doubt"} \/ ("doubt" \in Skipped /\ state[i] = "refused")
    /\ IF "read back" \in Skipped THEN Landed(i) ELSE Won(i)
    /\ Guard("once", sent[i] = 0) /\ sent[i] < 2
    /\ sent' = [sent EXCEPT ![i] = sent[i] + 1]
    /\ UNCHANGED <<log, way, state, view, told, age, answered>>

\* The runner's answer is recorded.
Answer(i) ==
    /\ sent[i] > 0 /\ state[i] # "dead" /\ ~answered
    /\ answered' = TRUE
    /\ told' = [told EXCEPT ![i] = "answer"]
    /\ UNCHANGED <<log, way, state, view, sent, age>>

Die(i) ==
    /\ state[i] # "dead"
    /\ state' = [state EXCEPT ![i] = "dead"]
    /\ UNCHANGED <<log, way, view, sent, told, age, answered>>

Age ==
    /\ age < MaxAge /\ age' = age + 1
    /\ UNCHANGED <<log, way, state, view, sent, told, answered>>

Next ==
    \/ Land \/ Age
    \/ \E i \in Instances :
        \/ Ask(i) \/ AskAgain(i) \/ Refuse(i) \/ TimeOut(i) \/ Read(i) \/ Send(i) \/ Answer(i)
        \/ Die(i)

\* All instances together send the request to a runner at most once.
AtMostOnce == \A i, j \in Instances : sent[i] + (IF i = j THEN 0 ELSE sent[j]) <= 1

\* An instance that answers "not run" has not sent the request and never will.
Honest == \A i \in Instances : told[i] = "not run" => sent[i] = 0
=======================================================================
