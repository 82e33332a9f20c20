#ifndef JAYRILL_ENTRY_ENTRY_PROCESS_H_
#define JAYRILL_ENTRY_ENTRY_PROCESS_H_

#include <QtCore/QTimer>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/base/error.h"
#include "jayrill/base/snapshot.h"
#include "jayrill/claim/claim_ledger.h"
#include "jayrill/config/config_store.h"
#include "jayrill/config/translated_config_source.h"
#include "jayrill/entry/dispatch_service.h"
#include "jayrill/entry/entry_settings.h"
#include "jayrill/entry/entry_status.h"
#include "jayrill/entry/http/http_server.h"
#include "jayrill/entry/job_api.h"
#include "jayrill/entry/job_format.h"
#include "jayrill/entry/ledger_claims.h"
#include "jayrill/entry/operator_api.h"
#include "jayrill/membership/membership.h"
#include "jayrill/metrics.h"
#include "jayrill/session/loop_progress.h"
#include "jayrill/store/qt_scheduler.h"
#include "jayrill/store/store.h"

namespace jayrill {

class entry_process;

/// Parts of an entry that a platform adapter may replace.
struct entry_overrides {
  /// Makes the store client. Empty: an etcd_store for the endpoints of the
  /// settings, or a memory_store if there are none.
  std::function<std::unique_ptr<store>(scheduler&)> make_store;
  /// If not null, used in place of a store that the entry makes.
  store* external_store = nullptr;
  /// Reads a configuration that operators change in the store themselves. Null:
  /// operators change the configuration through operator_api.
  const config_translator* translator = nullptr;
  const job_format* format = nullptr;  ///< Of jobs. Null: json_job_format.
  /// Handles every request that matches no route of jayrill. Empty: they get
  /// 404.
  std::function<void(entry_process&, const exchange_ptr&)> unmatched_requests;
};

/// The entry role: owns the HTTP servers, the store client, the membership and
/// the dispatcher, and runs the graceful stop. Created and used on the Qt main
/// thread, on which HTTP and the store client run; the dispatcher has a thread
/// of its own.
class entry_process final {
 public:
  /// \p time and what \p overrides refers to must outlive this object.
  entry_process(entry_settings settings,
                const clock& time,
                entry_overrides overrides = {});

  /// Stops at once, without waiting for jobs in flight, unless the graceful
  /// stop has finished.
  ~entry_process();
  entry_process(const entry_process&) = delete;
  entry_process& operator=(const entry_process&) = delete;

  /// Sets the function that is called on the Qt thread after a graceful stop.
  void OnStopped(std::function<void()> stopped) {
    stopped_ = std::move(stopped);
  }

  /// Connects to the store and begins to listen for callers and agents. Called
  /// at most once.
  result<void> Start();

  /// Begins a graceful stop: reports not ready, refuses new jobs as not run
  /// after the stop delay, finishes everything in flight, stores the ends of
  /// claims and leaves the membership.
  void Stop();

  /// \name Ports listened on, valid after Start().
  /// @{
  std::uint16_t http_port() const { return http_port_; }
  std::uint16_t rpc_port() const { return rpc_port_; }
  /// @}

  /// \returns true when GET /readyz would answer 200.
  bool IsReady() const;

  /// \returns true when the store has confirmed the configuration recently.
  bool IsConfigConfirmed() const { return !UnconfirmedSince(); }

  /// \returns the configuration in force, or null while there is none.
  shared_config Config() const { return dispatch_.View().config; }

  /// Runs the job in the body of \p exchange and replies with its outcome.
  void HandleJob(const exchange_ptr& exchange) {
    jobs_->HandleSubmission(exchange);
  }

  /// Passes the state of the dispatcher to \p done on the Qt thread.
  void GetStatus(std::function<void(dispatch_status)> done);

 private:
  void MakeStoreClients();
  void MakeApis();
  void MakeJayrillApis();
  void JoinMembership();
  void AddHealthRoutes(http_server& server, const std::string& ready_path);
  result<void> Listen();
  static result<std::uint16_t> Listen(http_server& server,
                                      const std::string& address);
  void BeginDrain();
  void Tick();
  void OnConfig(const shared_config& config);
  void OnConfirmed();
  void OnEntries(const std::vector<entry_record>& entries);
  void OnStatus(dispatch_status status);
  std::optional<wall_time> UnconfirmedSince() const;
  entry_status Status(dispatch_status dispatch) const;
  void UpdateShares();
  void CheckDrained();
  void OnDrained();
  void OnClaimsStored();
  void OnMembershipLeft();

  entry_settings settings_;
  const clock& time_;
  std::function<void()> stopped_;
  random_source random_;
  incarnation incarnation_;
  metric_registry metrics_;
  qt_scheduler timers_;
  std::unique_ptr<store> own_store_;
  store* store_;
  loop_progress callers_progress_;
  dispatch_service dispatch_;
  entry_overrides overrides_;
  json_job_format json_format_;
  std::unique_ptr<config_source> config_;
  std::unique_ptr<claim_ledger> ledger_;
  std::unique_ptr<ledger_claims> claims_;
  std::unique_ptr<membership> membership_;
  std::unique_ptr<job_api> jobs_;
  std::unique_ptr<operator_api> operators_;
  std::unique_ptr<http_server> http_;
  std::unique_ptr<http_server> health_;
  QTimer tick_timer_;
  QTimer loop_timer_;  ///< Ticks callers_progress_.
  std::uint16_t http_port_ = 0;
  std::uint16_t rpc_port_ = 0;
  bool has_config_ = false;
  bool stopping_ = false;
  bool drained_ = false;         ///< The dispatcher has no job left.
  bool storing_claims_ = false;  ///< The ends of claims are being stored.
  std::optional<steady_time> last_confirmed_steady_time_;
  wall_time last_confirmed_wall_time_;  ///< Start of the entry until confirmed.
  snapshot_reader_thread snapshot_reader_;  ///< For the dispatcher's view.
  /// At most kTicksPerStatus ticks old.
  dispatch_status status_;
  int tick_count_ = 0;
  /// Keeps callbacks from running once this object is destroyed.
  callback_guard guard_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_ENTRY_PROCESS_H_
