#ifndef TESTS_UNIT_HTTP_FAKE_PORTS_H_
#define TESTS_UNIT_HTTP_FAKE_PORTS_H_

#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "jayrill/entry/claim_port.h"
#include "jayrill/entry/dispatch_port.h"

namespace jayrill {

/// A dispatcher whose jobs get their outcome when the test calls End().
class fake_dispatch final : public dispatch_port {
 public:
  struct submission {
    job_id id;
    job_spec spec;
    outcome_callback done;
  };

  void Submit(job_id id, job_spec spec, outcome_callback done) override {
    submitted.push_back({id, std::move(spec), std::move(done)});
  }
  void Cancel(job_id id) override { cancelled.push_back(id); }
  void OfferConfig(shared_config config) override {
    offered.push_back(std::move(config));
  }
  void ConfirmConfig() override {}
  void SetEntries(std::vector<entry_endpoint>) override {}
  void OfferOutList(out_list, steady_time) override {}
  void SetTeamShares(std::map<std::string, double>) override {}
  void OnNewerConfig(std::function<void(shared_config)> listener) override {
    on_newer = std::move(listener);
  }
  void GetStatus(std::function<void(dispatch_status)> done) override {
    std::thread([this, done = std::move(done)] { done(status); }).join();
  }
  void Drain(std::function<void()> drained) override {
    on_drained = std::move(drained);
  }

  /// Ends the job at \p index from another thread, as the dispatcher does.
  void End(std::size_t index, job_outcome outcome) {
    std::thread([this, index, &outcome] {
      submitted.at(index).done(std::move(outcome));
    }).join();
  }

  std::vector<submission> submitted;
  std::vector<job_id> cancelled;
  std::vector<shared_config> offered;
  std::function<void(shared_config)> on_newer;
  std::function<void()> on_drained;
  dispatch_status status;
};

/// A claim ledger that records the calls. The test answers a claim by calling
/// the function in `acquired`.
class fake_claims final : public claim_port {
 public:
  void Acquire(const std::string& key,
               std::uint64_t,
               decision_function done) override {
    acquired.emplace_back(key, std::move(done));
  }
  void End(const std::string& key, ended_outcome) override {
    ended.push_back(key);
  }
  void Release(const std::string& key) override { released.push_back(key); }

  std::vector<std::pair<std::string, decision_function>> acquired;
  std::vector<std::string> ended;
  std::vector<std::string> released;
};

}  // namespace jayrill

#endif  // TESTS_UNIT_HTTP_FAKE_PORTS_H_
