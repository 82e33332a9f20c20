@0xd1f5a6e2c93b7a48;

# RPC between entries and agents. An agent connects to the RPC port of an entry
# and passes a capability by which the entry calls the agent.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jayrill::wire");

interface EntryPort {
  # Bootstrap capability of an entry.

  identify @0 () -> (entry :EntryIdentity);
  # The first call: the agent needs the entry's incarnation to know which
  # session it resumes.

  connect @1 (hello :AgentHello, agent :AgentPort)
      -> (welcome :EntryWelcome, session :EntrySession);
  # Opens a session or resumes it on a new connection.
}

interface EntrySession {
  report @0 (report :AgentReport)
      -> (heartbeatMs :UInt32, statusMs :UInt32, callersLagMs :UInt32,
          outList :OutList);
  # Carries results and the state of the minion; also the heartbeat of the agent.
  # The response acknowledges every result of the report. heartbeatMs is the
  # heartbeat interval, which changes with the number of sessions of the entry;
  # 0: unchanged. statusMs is the shortest time between two reports without
  # results that the entry asks for. callersLagMs is for how long the entry may
  # have missed that callers have left; 0: it hears them. outList is the newest
  # list that the entry knows.

  goodbye @1 () -> ();
  # The agent ends after a graceful stop. No start is outstanding, unless the
  # stop has exceeded its time limit.
}

interface AgentPort {
  start @0 (batch :StartBatch) -> ();
  cancel @1 (numbers :List(UInt64)) -> ();
  # Withdraws starts that wait for a slot, and stops running ones if the minion
  # can stop them. Each is answered by a result: notRun when it was withdrawn,
  # interrupted when it was stopped, otherwise its own outcome.

  configure @2 (config :Config) -> (revision :UInt64);
  heartbeat @3 (entries :List(EntryEndpoint), outList :OutList) -> ();
  # Sent when the entry has sent nothing, not even the response to a report, for
  # one and a half heartbeat intervals, and when one of the lists has changed.
  # Carries all live entries.
}

struct EntryEndpoint {
  address @0 :Text;          # RPC address, IP:port
  dataCentre @1 :Text;       # empty: not known
  cpuMillis @2 :UInt32;      # thousandths of a core that the entry may use
}

struct EntryIdentity {
  id @0 :Text;
  incarnation @1 :UInt64;
  protocolVersion @2 :UInt32;
}

struct AgentHello {
  protocolVersion @0 :UInt32;
  agentId @1 :Text;
  incarnation @2 :UInt64;
  dataCentre @3 :Text;
  worker @4 :Text;
  rack @5 :Text;
  epoch @6 :UInt64;          # of this connection; above every earlier one
  lastAccepted @7 :UInt64;   # start number; starts above it are fenced
  config @8 :Config;         # newest configuration of the agent, or empty
  status @9 :MinionStatus;
  sentMicros @10 :UInt64;    # as in AgentReport
  session @11 :UInt64;       # of the last welcome that the agent has received
                             # from this entry; 0: not known
  outList @12 :OutList;      # newest that the agent knows
}

struct EntryWelcome {
  config @0 :Config;         # newest configuration of the entry
  entries @1 :List(EntryEndpoint);  # all live entries
  heartbeatMs @2 :UInt32;
  resumed @3 :Bool;          # false: the entry does not know the session, and
                             # the agent drops its unacknowledged results
  statusMs @4 :UInt32;       # shortest time between two reports without results
  session @5 :UInt64;        # names the session among those of the entry
  outList @6 :OutList;       # newest that the entry knows
}

struct Config {
  revision @0 :UInt64;       # 0: none
  packed @1 :Data;           # compressed; without the audit trail
}

struct OutList {
  # All data centres that operators have taken out of service.
  revision @0 :UInt64;       # of the store, as of which it is; 0: not known
  dataCentres @1 :List(Text);
  ageMs @2 :UInt32 = 0xffffffff;
  # For how long the store has not shown the sender that the list is current;
  # 2^32 - 1: not known.
}

struct StartBatch {
  revision @0 :UInt64;       # configuration by which the entry placed them
  epoch @1 :UInt64;
  starts @2 :List(Start);
  agentMicros @3 :UInt64;
  # Lower bound of the agent's clock when the entry placed the starts: the newest
  # sentMicros of the agent and the time since it arrived. The agent refuses
  # starts that have been on their way for too long; 0: not known.
}

struct ResourceAmount {
  cpuMillis @0 :UInt32;      # thousandths of a core
  memoryMb @1 :UInt32;
  accelerators @2 :UInt32;
  zeroMeansNone @3 :Bool;    # of a capacity; otherwise 0 is not limited
}

struct Start {
  number @0 :UInt64;
  jobEntry @1 :UInt64;       # job id: entry incarnation and sequence
  jobSequence @2 :UInt64;
  taskIndex @3 :UInt32;
  service @4 :Text;
  kind @5 :Text;
  payload @6 :Data;          # JSON
  remainingMs @7 :UInt32;    # time left to the job's deadline
  priority @8 :Float64;      # lower runs first in the agent's queue
  jobName @9 :Text;
  attempt @10 :UInt32;       # of the task, from 1
  needs @11 :ResourceAmount; # resources needed in addition to a slot
  expectedRunMs @12 :UInt32; # on this minion; 0: not known
  typicalRunMs @14 :UInt32;  # on the average minion; 0: not known
  maxWaitMs @13 :UInt32;     # the agent gives the start back as busy when it
                             # expects it to wait for longer; 0: it may wait
                             # until the deadline
  profile @15 :Text;         # of the job; empty: not known
  shareWeight @16 :UInt32;   # of the profile where profiles share the room of a
                             # minion; 0: not known
}

enum TaskOutcome {
  succeeded @0;
  failed @1;                 # ran; the minion reported a failure
  notRun @2;                 # did not run and will not
  unknown @3;                # may have run
  interrupted @4;            # ran without a result and does not run any more
}

struct TaskResult {
  number @0 :UInt64;
  outcome @1 :TaskOutcome;
  body @2 :Data;             # JSON response of the minion, if it succeeded
  message @3 :Text;          # reason, if it did not succeed
  runMicros @4 :UInt64;      # from the call of the minion to its answer
  waitMicros @5 :UInt64;     # time in the agent's queue
  reason @6 :NotRunReason;
}

enum NotRunReason {
  none @0;
  staleConfig @1;
  dataCentreOut @2;
  draining @3;
  noMinion @4;
  paused @5;
  expired @6;
  cancelled @7;
  queueFull @8;
  connectionRefused @9;
  wrongService @10;
  refused @11;
  busy @12;                  # it would have waited longer than maxWaitMs
}

struct MinionStatus {
  service @0 :Text;          # empty: no minion is announced
  slots @1 :UInt32;
  connections @2 :UInt32;
  busy @3 :UInt32;           # slots in use, by all entries
  queued @4 :UInt32;         # starts waiting at the agent, of all entries
  draining @5 :Bool;
  configRevision @6 :UInt64;
  cores @7 :UInt32;
  memoryMb @8 :UInt32;
  accelerators @9 :UInt32;
  expectedFreeMicros @10 :UInt64;
  # Estimated time until a new start would get a slot.
  room @11 :ResourceAmount;  # total that the tasks of the minion share
  used @12 :ResourceAmount;  # part of it taken by running and waiting starts
  warmingUpMs @13 :UInt32;   # how long the minion will be slow after its start
  slownessPercent @14 :UInt32;
  # Run time relative to the average minion, by the runs of all entries in the
  # last seconds; 0: not known.
  crashes @15 :List(TaskCrash);  # of the last seconds, in any life of the minion
  rack @16 :Text;            # that the minion has announced; empty: that of the
                             # hello
}

struct TaskCrash {
  # The minion has crashed while it ran this task.
  jobName @0 :Text;
  taskIndex @1 :UInt32;
  number @2 :UInt64;         # tells the crashes that an agent reports apart
  isLikelyCause @3 :Bool;    # it was the only run, or the last one to begin
}

struct AgentReport {
  results @0 :List(TaskResult);
  status @1 :MinionStatus;
  config @2 :Config;         # set if the agent has a newer one than the entry
  sentMicros @3 :UInt64;     # on the agent's steady clock; 0: not known
  outList @4 :OutList;       # set if the agent has a newer one than the entry,
                             # with other data centres
}
