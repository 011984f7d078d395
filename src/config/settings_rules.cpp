#include "settings_rules.h"

#include <set>
#include <string>

#include "json_access.h"
#include "json_text.h"
#include "lycheestep/process_settings.h"

namespace lycheestep {

namespace {

using nlohmann::json;

// Number of renewals or heartbeats that must be due before a term, a lease or a
// peer timeout ends, so that losing one of them has no effect.
constexpr int kRenewalsPerTerm = 2;
// Lower bound of the size limits for HTTP bodies and peer frames, in bytes.
constexpr std::int64_t kSmallestLimit = 1024;

// Adds a problem with the text aRule at /scheduler/aKey, unless aTime is longer
// than aThan.
void CheckLonger(Duration aTime,
                 Duration aThan,
                 const char* aKey,
                 const std::string& aRule,
                 ProblemList& aProblems)
{
  if (aTime > aThan) {
    return;
  }
  aProblems.Add(
    std::string("/scheduler/") + aKey, FormatDuration(aTime), aRule);
}

void CheckTerms(const SchedulerSettings& aSettings, ProblemList& aProblems)
{
  const Duration zero = Duration::zero();
  CheckLonger(aSettings.m_sessionPeriod,
              zero,
              "session_period",
              "must be longer than 0",
              aProblems);
  CheckLonger(aSettings.m_mainTerm,
              aSettings.m_termMargin +
                kRenewalsPerTerm * aSettings.m_sessionPeriod,
              "main_term",
              "must be longer than \"term_margin\" and two \"session_period\"",
              aProblems);
  CheckLonger(aSettings.m_reserveTerm,
              aSettings.m_mainTerm,
              "reserve_term",
              "must be longer than \"main_term\"",
              aProblems);
  CheckLonger(aSettings.m_leasePeriod,
              zero,
              "lease_period",
              "must be longer than 0",
              aProblems);
  CheckLonger(aSettings.m_leaseTerm,
              aSettings.m_leaseMargin +
                kRenewalsPerTerm * aSettings.m_leasePeriod,
              "lease_term",
              "must be longer than \"lease_margin\" and two \"lease_period\"",
              aProblems);
}

void CheckPeriods(const SchedulerSettings& aSettings, ProblemList& aProblems)
{
  const Duration zero = Duration::zero();
  CheckLonger(aSettings.m_hostListPeriod,
              zero,
              "host_list_period",
              "must be longer than 0",
              aProblems);
  CheckLonger(aSettings.m_cataloguePeriod,
              zero,
              "catalogue_period",
              "must be longer than 0",
              aProblems);
  CheckLonger(aSettings.m_heartbeatPeriod,
              zero,
              "heartbeat_period",
              "must be longer than 0",
              aProblems);
  CheckLonger(aSettings.m_peerTimeout,
              kRenewalsPerTerm * aSettings.m_heartbeatPeriod,
              "peer_timeout",
              "must be longer than two \"heartbeat_period\"",
              aProblems);
  CheckLonger(aSettings.m_stopLimit,
              zero,
              "stop_limit",
              "must be longer than 0",
              aProblems);
}

void CheckPeerIds(const json& aPeers,
                  const std::string& aOwnId,
                  ProblemList& aProblems)
{
  std::set<std::string> ids;
  std::size_t index = 0;
  for (const json& member : ListMember(aPeers, "members")) {
    const std::string pointer =
      "/peers/members/" + std::to_string(index++) + "/id";
    const auto id = TextMember(member, "id");
    if (!id) {
      continue;
    }
    if (*id == aOwnId) {
      aProblems.Add(pointer, *id, "must be another host than \"entry\"");
    }
    if (!ids.insert(*id).second) {
      aProblems.Add(pointer, *id, "must be unique in /peers/members");
    }
  }
}

void CheckPeers(const json& aDocument, ProblemList& aProblems)
{
  const json* peers = FindMember(aDocument, "peers");
  if (peers == nullptr) {
    return;
  }
  CheckPeerIds(*peers, TextMember(aDocument, "entry").value_or(""), aProblems);
  if (ListMember(*peers, "members").empty()) {
    return;
  }
  for (const char* key : { "address", "key" }) {
    if (FindMember(*peers, key) == nullptr) {
      aProblems.AddText(std::string("/peers/") + key,
                        "(missing)",
                        "must be given when \"members\" names other hosts");
    }
  }
}

void CheckSizeLimit(const json& aDocument,
                    const char* aSection,
                    const char* aKey,
                    ProblemList& aProblems)
{
  const json* section = FindMember(aDocument, aSection);
  if (section == nullptr) {
    return;
  }
  const auto size = SizeMember(*section, aKey);
  if (size && *size < kSmallestLimit) {
    aProblems.Add(std::string("/") + aSection + '/' + aKey,
                  section->at(aKey),
                  "must be at least \"1KiB\"");
  }
}

} // namespace

void CheckSettingsRules(const json& aDocument,
                        const ProcessSettings& aSettings,
                        ProblemList& aProblems)
{
  CheckTerms(aSettings.m_scheduler, aProblems);
  CheckPeriods(aSettings.m_scheduler, aProblems);
  CheckPeers(aDocument, aProblems);
  CheckSizeLimit(aDocument, "http", "body_limit", aProblems);
  CheckSizeLimit(aDocument, "peers", "frame_limit", aProblems);
}

} // namespace lycheestep
