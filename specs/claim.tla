---------------------------- MODULE claim ----------------------------
\* The claim on the key of one non-idempotent request, asked for at two instances.
\*
\* Code that follows this specification: crates/core/src/ledger/append.rs (what becomes of an
\* append), crates/core/src/ledger/book.rs (the first claim wins, and what is too old) and
\* crates/core/src/contract/steward/ask.rs (who may send).
\*
\* An append may land at once, late, never, or twice if a library repeats it; its answer may be
\* lost. An instance that dies comes back under another name and knows nothing.
EXTENDS Naturals, Sequences

CONSTANTS
    Instances,
    MaxLog,     \* records that are explored
    MaxAge,     \* how often the window moves on
    Skipped     \* guards that are left out; {} for the protocol

VARIABLES
    log,        \* the claims in the stream: who, and when they were written
    way,        \* claims on their way to the log; none is ever taken off, but by a refusal
    state,      \* state[i]: "idle", "sent", "doubt", "refused" or "dead"
    view,       \* view[i]: how much of the stream i has read
    sent,       \* sent[i]: how often i sent the request to the runner
    told,       \* told[i]: what i told its caller
    age,        \* the window: a claim written before it is forgotten
    answered    \* whether the answer is recorded

vars == <<log, way, state, view, sent, told, age, answered>>

Guard(name, condition) == name \in Skipped \/ condition

\* Book::apply: a claim is in force from where it stands in the stream if no other is that the book
\* still has, and if it isn't older than the window. The window is a function of the stream, too.
Present(n) == {k \in 1..n : log[k].live /\ log[k].at >= age}
Won(i) == \E k \in 1..view[i] : log[k].by = i /\ log[k].live

Init ==
    /\ log = <<>> /\ way = {} /\ age = 0 /\ answered = FALSE
    /\ state = [i \in Instances |-> "idle"]
    /\ view = [i \in Instances |-> 0]
    /\ sent = [i \in Instances |-> 0]
    /\ told = [i \in Instances |-> "nothing"]

\* A caller asks; the request was issued when age was 0.
Ask(i) ==
    /\ state[i] = "idle" /\ Present(view[i]) = {}
    /\ Guard("window", age = 0)
    /\ state' = [state EXCEPT ![i] = "sent"]
    /\ way' = way \cup {[by |-> i, at |-> age]}
    /\ UNCHANGED <<log, view, sent, told, age, answered>>

\* A caller asks, and the key is there already: it hears what is known.
AskAgain(i) ==
    /\ state[i] = "idle" /\ Present(view[i]) # {}
    /\ told' = [told EXCEPT ![i] = IF answered THEN "answer" ELSE "unknown"]
    /\ UNCHANGED <<log, way, state, view, sent, age, answered>>

\* A record lands. It is in force if no other is, and if it isn't older than the window.
Land == \E r \in way :
    /\ Len(log) < MaxLog
    /\ LET live == /\ Present(Len(log)) = {}
                   /\ Guard("expired", r.at >= age)
       IN log' = Append(log, [by |-> r.by, at |-> r.at, live |-> live])
    /\ UNCHANGED <<way, state, view, sent, told, age, answered>>

\* The log answers that the record did not land and never will.
Refuse(i) ==
    /\ state[i] = "sent" /\ \A k \in 1..Len(log) : log[k].by # i
    /\ way' = {r \in way : r.by # i}
    /\ state' = [state EXCEPT ![i] = "refused"]
    /\ told' = [told EXCEPT ![i] = "not run"]
    /\ UNCHANGED <<log, view, sent, age, answered>>

\* No answer comes in time. The caller hears that nothing is known, and never "not run".
TimeOut(i) ==
    /\ state[i] = "sent"
    /\ state' = [state EXCEPT ![i] = IF "doubt" \in Skipped THEN "refused" ELSE "doubt"]
    /\ told' = [told EXCEPT ![i] = IF "doubt" \in Skipped THEN "not run" ELSE "unknown"]
    /\ UNCHANGED <<log, way, view, sent, age, answered>>

Read(i) ==
    /\ view[i] < Len(log) /\ state[i] # "dead"
    /\ view' = [view EXCEPT ![i] = view[i] + 1]
    /\ UNCHANGED <<log, way, state, sent, told, age, answered>>

\* The request is sent once the claim was read back as the winner. Without the read-back it would
\* be sent once the log has answered that the record landed.
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

\* The request is sent to a runner at most once, by all instances together.
AtMostOnce == \A i, j \in Instances : sent[i] + (IF i = j THEN 0 ELSE sent[j]) <= 1

\* Who says "not run" has not sent the request and never will.
Honest == \A i \in Instances : told[i] = "not run" => sent[i] = 0
=======================================================================
