#include "fake_entry.h"

#include <capnp/rpc-twoparty.h>

#include <future>
#include <utility>

#include "jayrill/rpc/codec.h"

// The generated classes have non-virtual destructors; kj deletes each object as
// its exact type.
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

namespace jayrill {

namespace {

// The number of milliseconds as it is sent.
std::uint32_t Count(std::chrono::milliseconds interval) {
  return static_cast<std::uint32_t>(interval.count());
}

}  // namespace

struct fake_entry::peer {
  kj::Own<kj::AsyncIoStream> stream;
  kj::Maybe<wire::AgentPort::Client> agent;
};

struct fake_entry::state : kj::TaskSet::ErrorHandler {
  explicit state(fake_entry& parent)
      : entry(parent),
        io(kj::setupAsyncIo()),
        observer(io.unixEventPort,
                 parent.inbox_.event_fd(),
                 kj::UnixEventPort::FdObserver::OBSERVE_READ),
        tasks(*this) {}

  void taskFailed(kj::Exception&&) override {}

  kj::Promise<void> ServeInbox() {
    return observer.whenBecomesReadable().then([this] {
      entry.inbox_.Drain();
      tasks.add(ServeInbox());
    });
  }

  kj::Promise<void> Accept();

  fake_entry& entry;
  kj::AsyncIoContext io;
  kj::UnixEventPort::FdObserver observer;
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Maybe<wire::AgentPort::Client> agent;
  connection_epoch epoch;
  config_copy config;
  bool resumed = false;
  session_number session;
  std::chrono::milliseconds heartbeat{1000};
  std::chrono::milliseconds status_interval{};
  bool hold_acknowledgements = false;
  kj::Own<kj::PromiseFulfiller<void>> end_fulfiller;
  kj::Own<kj::TaskSet> connections;
  kj::TaskSet tasks;
};

class fake_entry::session final : public wire::EntrySession::Server {
 public:
  explicit session(state& parent) : state_(parent) {}

 protected:
  kj::Promise<void> report(ReportContext context) override {
    const auto report = context.getParams().getReport();
    {
      const std::lock_guard<std::mutex> lock(state_.entry.mutex_);
      record& recorded = state_.entry.record_;
      ++recorded.reports;
      recorded.report_sent_micros = report.getSentMicros();
      recorded.status = Decode(report.getStatus());
      for (const auto result : report.getResults()) {
        const task_result decoded = Decode(result);
        recorded.results[decoded.number].push_back(decoded);
      }
      if (report.getConfig().getRevision() != 0) {
        recorded.newest_config = {report.getConfig().getRevision()};
      }
      if (report.getOutList().getRevision() != 0) {
        recorded.newest_out_list = Decode(report.getOutList()).list;
      }
    }
    if (state_.hold_acknowledgements) {
      return kj::NEVER_DONE;
    }
    context.getResults().setHeartbeatMs(Count(state_.heartbeat));
    context.getResults().setStatusMs(Count(state_.status_interval));
    return kj::READY_NOW;
  }
  kj::Promise<void> goodbye(GoodbyeContext) override {
    const std::lock_guard<std::mutex> lock(state_.entry.mutex_);
    ++state_.entry.record_.goodbyes;
    return kj::READY_NOW;
  }

 private:
  state& state_;
};

class fake_entry::port final : public wire::EntryPort::Server {
 public:
  explicit port(state& parent) : state_(parent) {}

 protected:
  kj::Promise<void> identify(IdentifyContext context) override {
    auto entry = context.getResults().initEntry();
    entry.setId("fake");
    entry.setIncarnation(state_.entry.incarnation_);
    entry.setProtocolVersion(kProtocolVersion);
    return kj::READY_NOW;
  }
  kj::Promise<void> connect(ConnectContext context) override {
    const auto hello = context.getParams().getHello();
    state_.epoch = {hello.getEpoch()};
    state_.agent = context.getParams().getAgent();
    {
      const std::lock_guard<std::mutex> lock(state_.entry.mutex_);
      record& recorded = state_.entry.record_;
      recorded.hellos.push_back(
          {state_.epoch, {hello.getLastAccepted()}, {hello.getSession()}});
      recorded.hello_configs.push_back({hello.getConfig().getRevision()});
      recorded.hello_sent_micros = hello.getSentMicros();
      recorded.status = Decode(hello.getStatus());
    }
    auto results = context.getResults();
    auto welcome = results.initWelcome();
    welcome.initConfig().setRevision(state_.config.revision.value);
    welcome.getConfig().setPacked(ToData(state_.config.packed));
    welcome.setHeartbeatMs(Count(state_.heartbeat));
    welcome.setStatusMs(Count(state_.status_interval));
    welcome.setResumed(state_.resumed);
    welcome.setSession(state_.session.value);
    results.setSession(kj::heap<session>(state_));
    return kj::READY_NOW;
  }

 private:
  state& state_;
};

kj::Promise<void> fake_entry::state::Accept() {
  return receiver->accept().then([this](kj::Own<kj::AsyncIoStream>&& stream) {
    auto server = kj::heap<capnp::TwoPartyServer>(kj::heap<port>(*this));
    auto served = server->accept(*stream);
    connections->add(served.attach(kj::mv(stream), kj::mv(server)));
    tasks.add(Accept());
  });
}

fake_entry::fake_entry(std::uint64_t incarnation_value)
    : incarnation_(incarnation_value) {
  std::promise<void> ready;
  thread_ = std::thread([this, &ready] {
    state local(*this);
    local.connections =
        kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(local));
    auto address = local.io.provider->getNetwork()
                       .parseAddress("127.0.0.1:0")
                       .wait(local.io.waitScope);
    local.receiver = address->listen();
    port_ = local.receiver->getPort();
    state_ = &local;
    auto paf = kj::newPromiseAndFulfiller<void>();
    local.end_fulfiller = kj::mv(paf.fulfiller);
    local.tasks.add(local.ServeInbox());
    local.tasks.add(local.Accept());
    ready.set_value();
    paf.promise.wait(local.io.waitScope);
    local.agent = nullptr;
    local.connections = nullptr;
  });
  ready.get_future().wait();
}

fake_entry::~fake_entry() {
  Post([](state& own) { own.end_fulfiller->fulfill(); });
  thread_.join();
}

std::string fake_entry::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

fake_entry::record fake_entry::Record() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return record_;
}

void fake_entry::Post(std::function<void(state&)> work) {
  inbox_.Post([this, work = std::move(work)] { work(*state_); });
}

void fake_entry::Send(start_batch batch) {
  Post([batch = std::move(batch)](state& own) {
    KJ_IF_MAYBE (agent, own.agent) {
      auto request = agent->startRequest();
      auto wire = request.initBatch();
      wire.setRevision(batch.revision.value);
      wire.setEpoch(batch.epoch.value != 0 ? batch.epoch.value
                                           : own.epoch.value);
      if (batch.placed) {
        wire.setAgentMicros(EncodeClock(*batch.placed));
      }
      auto starts = wire.initStarts(static_cast<unsigned>(batch.starts.size()));
      unsigned index = 0;
      for (const start_request& order : batch.starts) {
        Encode(order, starts[index++]);
      }
      own.tasks.add(request.send().ignoreResult());
    }
  });
}

void fake_entry::Cancel(start_number number) {
  Post([number](state& own) {
    KJ_IF_MAYBE (agent, own.agent) {
      auto request = agent->cancelRequest();
      request.initNumbers(1).set(0, number.value);
      own.tasks.add(request.send().ignoreResult());
    }
  });
}

void fake_entry::Configure(const config_copy& config) {
  Post([config](state& own) {
    KJ_IF_MAYBE (agent, own.agent) {
      auto request = agent->configureRequest();
      request.initConfig().setRevision(config.revision.value);
      request.getConfig().setPacked(ToData(config.packed));
      own.tasks.add(request.send().ignoreResult());
    }
  });
}

void fake_entry::Heartbeat(const std::vector<std::string>& entries) {
  Post([entries](state& own) {
    KJ_IF_MAYBE (agent, own.agent) {
      auto request = agent->heartbeatRequest();
      auto list = request.initEntries(static_cast<unsigned>(entries.size()));
      unsigned index = 0;
      for (const std::string& entry : entries) {
        list[index++].setAddress(entry);
      }
      own.tasks.add(request.send().ignoreResult());
    }
  });
}

void fake_entry::SetWelcome(const config_copy& config,
                            bool resumed,
                            session_number number) {
  Post([config, resumed, number](state& own) {
    own.config = config;
    own.resumed = resumed;
    own.session = number;
  });
}

void fake_entry::SetIntervals(std::chrono::milliseconds heartbeat,
                              std::chrono::milliseconds status) {
  Post([heartbeat, status](state& own) {
    own.heartbeat = heartbeat;
    own.status_interval = status;
  });
}

void fake_entry::HoldAcknowledgements(bool hold_acknowledgements) {
  Post([hold_acknowledgements](state& own) {
    own.hold_acknowledgements = hold_acknowledgements;
  });
}

void fake_entry::Cut() {
  Post([](state& own) {
    own.agent = nullptr;
    own.connections =
        kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(own));
  });
}

}  // namespace jayrill
