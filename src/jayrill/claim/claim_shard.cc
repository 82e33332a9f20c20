#include "jayrill/claim/claim_shard.h"

#include <array>
#include <utility>

#include "jayrill/store/json_object.h"

namespace jayrill {

namespace {

// Names of the values of claim_state in the store, in the order of the enum.
constexpr std::array<std::string_view, 3> kStateNames = {"running", "released",
                                                         "ended"};

claim_state ReadState(const json_object& json) {
  const std::string name = json.Text("state");
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (name == kStateNames[i]) {
      return static_cast<claim_state>(i);
    }
  }
  json.Reject("state", "running, released or ended");
  return claim_state::kRunning;
}

claim ReadClaim(const json_object& json) {
  for (const std::string_view name : {"token", "entry", "time_ms"}) {
    json.Require(name);
  }
  claim value{ReadState(json),
              incarnation{json.Hex("entry")},
              json.Hex("token"),
              json.Hex("fingerprint"),
              wall_time(std::chrono::milliseconds(json.Number("time_ms"))),
              {}};
  // ToJson writes an outcome for an ended claim only.
  if (value.state == claim_state::kEnded) {
    value.outcome.outcome = json.Text("outcome");
    if (json.Has("answer")) {
      value.outcome.answer = json.Text("answer");
    }
  }
  return value;
}

QJsonObject ToJson(const claim& value) {
  const std::string_view state =
      kStateNames[static_cast<std::size_t>(value.state)];
  QJsonObject json{
      {QStringLiteral("state"), ToJsonText(state)},
      {QStringLiteral("entry"), ToJsonHex(value.entry.value)},
      {QStringLiteral("token"), ToJsonHex(value.token)},
      {QStringLiteral("fingerprint"), ToJsonHex(value.fingerprint)},
      {QStringLiteral("time_ms"),
       qint64{value.time.time_since_epoch().count()}}};
  if (value.state == claim_state::kEnded) {
    json.insert(QStringLiteral("outcome"), ToJsonText(value.outcome.outcome));
    if (value.outcome.answer) {
      json.insert(QStringLiteral("answer"), ToJsonText(*value.outcome.answer));
    }
  }
  return json;
}

claim_decision Granted(std::uint64_t token) {
  claim_decision decision;
  decision.what = claim_decision::kind::kGranted;
  decision.token = token;
  return decision;
}

}  // namespace

claim_decision TryAcquire(claim_shard& shard,
                          const request_key& key,
                          const claim& wanted) {
  const auto found = shard.claims.find(key.text);
  if (found == shard.claims.end()) {
    shard.claims.emplace(key.text, wanted);
    return Granted(wanted.token);
  }
  claim& held = found->second;
  if (held.fingerprint != wanted.fingerprint) {
    return RefuseClaim("key_reused",
                       "the request key was used for a job of other content",
                       "use a new request key for a new job");
  }
  if (held.state == claim_state::kEnded) {
    claim_decision decision;
    decision.what = claim_decision::kind::kEnded;
    decision.outcome = held.outcome;
    return decision;
  }
  if (held.state == claim_state::kReleased) {
    held = wanted;
    return Granted(wanted.token);
  }
  // An earlier write of this submission took effect, but its answer was lost.
  if (held.token == wanted.token) {
    return Granted(wanted.token);
  }
  claim_decision decision;
  decision.what = held.entry == wanted.entry
                      ? claim_decision::kind::kRunningHere
                      : claim_decision::kind::kRunningElsewhere;
  return decision;
}

bool TryEnd(claim_shard& shard,
            const request_key& key,
            std::uint64_t token,
            const ended_outcome& outcome) {
  const auto found = shard.claims.find(key.text);
  if (found == shard.claims.end() || found->second.token != token ||
      found->second.state != claim_state::kRunning) {
    return false;
  }
  found->second.state = claim_state::kEnded;
  found->second.outcome = outcome;
  return true;
}

bool TryRelease(claim_shard& shard,
                const request_key& key,
                const claim& released) {
  const auto [found, added] = shard.claims.try_emplace(key.text, released);
  claim& held = found->second;
  const bool own = held.token == released.token;
  const bool running = held.state == claim_state::kRunning;
  const bool free = held.state == claim_state::kReleased;
  if (added || (own && running) || (!own && free)) {
    held = released;
    held.state = claim_state::kReleased;
    return true;
  }
  return false;
}

void RemoveExpired(claim_shard& shard, wall_time now) {
  std::erase_if(shard.claims, [now](const auto& item) {
    return IsPastClaimLifetime(item.second.time, now);
  });
}

std::string EncodeShard(const claim_shard& shard) {
  QJsonObject claims;
  for (const auto& [key, value] : shard.claims) {
    claims.insert(ToJsonText(key), ToJson(value));
  }
  return ToText({{QStringLiteral("claims"), claims}});
}

result<claim_shard> DecodeShard(std::string_view text) {
  const json_object json = json_object::Parse(text);
  claim_shard shard;
  json.Require("claims");
  json.ForEach("claims", [&](const std::string& key, const json_object& value) {
    shard.claims[key] = ReadClaim(value);
  });
  if (auto checked = json.Check("claim shard"); !checked) {
    return tl::unexpected(checked.error());
  }
  return shard;
}

claim_decision RefuseClaim(std::string code,
                           std::string message,
                           std::string remedy) {
  claim_decision decision;
  decision.code = std::move(code);
  decision.message = std::move(message);
  decision.remedy = std::move(remedy);
  return decision;
}

}  // namespace jayrill
