#include <utility>

#include "jayrill/entry/dispatch_metrics.h"
#include "jayrill/entry/entry_process.h"
#include "jayrill/entry/listen_address.h"

// The HTTP servers of an entry: what they serve and where they listen.

namespace jayrill {
namespace {

using method = QHttpServerRequest::Method;

}  // namespace

void entry_process::MakeApis() {
  jobs_ = std::make_unique<job_api>(job_api_dependencies{
      dispatch_, *claims_, time_, metrics_,
      [this] { return dispatch_.View().config; }, incarnation_,
      overrides_.format != nullptr ? *overrides_.format : json_format_, timers_,
      [this] {
        return callers_progress_.Lag().count() > 0 ||
               time_.Now() < dispatch_.View().retransmissions_until;
      }});
  http_ = std::make_unique<http_server>(http_limits{}, metrics_, time_,
                                        callers_progress_);
  if (overrides_.unmatched_requests) {
    http_->RouteUnmatched([this](const exchange_ptr& exchange) {
      overrides_.unmatched_requests(*this, exchange);
    });
  }
  AddHealthRoutes(*http_, "/readyz");
  if (!settings_.health_listen.empty()) {
    health_ = std::make_unique<http_server>(http_limits{}, metrics_, time_,
                                            callers_progress_);
    AddHealthRoutes(*health_, settings_.ready_path);
  }
  if (overrides_.translator == nullptr) {
    MakeJayrillApis();
  }
}

void entry_process::MakeJayrillApis() {
  operators_ = std::make_unique<operator_api>(operator_api_dependencies{
      static_cast<config_store&>(*config_), metrics_, settings_.operator_secret,
      [this](const std::function<void(entry_status)>& done) {
        GetStatus([this, done](dispatch_status status) {
          done(Status(std::move(status)));
        });
      },
      [this] { return UnconfirmedSince(); }});
  http_->Route("/v1/jobs", method::Post, [this](const exchange_ptr& exchange) {
    jobs_->HandleSubmission(exchange);
  });
  operators_->AddRoutes(*http_);
}

void entry_process::AddHealthRoutes(http_server& server,
                                    const std::string& ready_path) {
  server.Route("/healthz", method::Get, [](const exchange_ptr& exchange) {
    exchange->Reply({200, R"({"status":"ok"})"});
  });
  server.Route(ready_path, method::Get, [this](const exchange_ptr& exchange) {
    const bool ready = IsReady();
    exchange->Reply({ready ? 200 : 503, ready ? R"({"status":"ready"})"
                                              : R"({"status":"not_ready"})"});
  });
  server.Route("/metrics", method::Get, [this](const exchange_ptr& exchange) {
    GetStatus([this, exchange](const dispatch_status& status) {
      UpdateMetrics(status, metrics_);
      exchange->Reply(
          {200, metrics_.Expose(), "text/plain; version=0.0.4; charset=utf-8"});
    });
  });
}

result<std::uint16_t> entry_process::Listen(http_server& server,
                                            const std::string& text) {
  const result<listen_address> address = ParseListenAddress(text);
  if (!address) {
    return tl::unexpected(address.error());
  }
  return server.Listen(address->ip, address->port);
}

result<void> entry_process::Listen() {
  const result<std::uint16_t> port = Listen(*http_, settings_.http_listen);
  if (!port) {
    return tl::unexpected(port.error());
  }
  http_port_ = *port;
  if (health_) {
    const auto health = Listen(*health_, settings_.health_listen);
    if (!health) {
      return tl::unexpected(health.error());
    }
  }
  return {};
}

}  // namespace jayrill
