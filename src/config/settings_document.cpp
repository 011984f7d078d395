#include <type_traits>

#include "embedded_schema.h"
#include "json_access.h"
#include "json_text.h"
#include "lycheestep/document.h"
#include "lycheestep/process_settings.h"
#include "schema_check.h"
#include "settings_rules.h"

namespace lycheestep {

namespace {

using nlohmann::json;

// Reads the members of one object of the settings into fields. If a member is
// missing or has a wrong type, the field keeps its default. A null section
// reads as an empty object.
class SectionReader
{
public:
  explicit SectionReader(const json* aSection)
    : m_section(aSection == nullptr ? json::object() : *aSection)
  {
  }

  void Read(const char* aKey, std::string& aField) const
  {
    aField = TextMember(m_section, aKey).value_or(aField);
  }
  void Read(const char* aKey, bool& aField) const
  {
    aField = FlagMember(m_section, aKey).value_or(aField);
  }
  void Read(const char* aKey, Duration& aField) const
  {
    aField = DurationMember(m_section, aKey).value_or(aField);
  }
  template<class Number, class = std::enable_if_t<std::is_integral_v<Number>>>
  void Read(const char* aKey, Number& aField) const
  {
    const json* member = FindMember(m_section, aKey);
    if (member != nullptr && member->is_number_integer()) {
      aField = member->get<Number>();
    }
  }
  template<class Tag>
  void Read(const char* aKey, Id<Tag>& aField) const
  {
    aField = Id<Tag>(TextMember(m_section, aKey).value_or(aField.Text()));
  }
  void ReadSize(const char* aKey, std::size_t& aField) const
  {
    const auto size = SizeMember(m_section, aKey);
    aField = size ? static_cast<std::size_t>(*size) : aField;
  }

  const json& Section() const { return m_section; }

private:
  json m_section;
};

PeerAddress ReadPeer(const json& aPeer)
{
  const SectionReader reader(&aPeer);
  PeerAddress peer;
  reader.Read("id", peer.m_id);
  reader.Read("data_centre", peer.m_dataCentre);
  reader.Read("address", peer.m_address);
  return peer;
}

void ReadPeers(const json* aSection, ProcessSettings& aSettings)
{
  const SectionReader reader(aSection);
  reader.Read("address", aSettings.m_scheduler.m_peerAddress);
  reader.Read("key", aSettings.m_peerKey);
  reader.ReadSize("frame_limit", aSettings.m_peerFrameLimit);
  reader.Read("frame_rate", aSettings.m_peerFrameRate);
  for (const json& member : ListMember(reader.Section(), "members")) {
    aSettings.m_scheduler.m_peers.push_back(ReadPeer(member));
  }
}

void ReadHttp(const json* aSection, ProcessSettings& aSettings)
{
  const SectionReader reader(aSection);
  reader.Read("host", aSettings.m_httpHost);
  reader.Read("port", aSettings.m_httpPort);
  reader.Read("threads", aSettings.m_httpThreads);
  reader.Read("caller_limit", aSettings.m_callerLimit);
  reader.ReadSize("body_limit", aSettings.m_bodyLimit);
}

void ReadScheduler(const json* aSection, SchedulerSettings& aSettings)
{
  const SectionReader reader(aSection);
  reader.Read("seed", aSettings.m_seed);
  reader.Read("main_term", aSettings.m_mainTerm);
  reader.Read("reserve_term", aSettings.m_reserveTerm);
  reader.Read("term_margin", aSettings.m_termMargin);
  reader.Read("session_period", aSettings.m_sessionPeriod);
  reader.Read("reserve_percent", aSettings.m_reservePercent);
  reader.Read("lease_term", aSettings.m_leaseTerm);
  reader.Read("lease_period", aSettings.m_leasePeriod);
  reader.Read("lease_margin", aSettings.m_leaseMargin);
  reader.Read("host_list_period", aSettings.m_hostListPeriod);
  reader.Read("catalogue_period", aSettings.m_cataloguePeriod);
  reader.Read("heartbeat_period", aSettings.m_heartbeatPeriod);
  reader.Read("peer_timeout", aSettings.m_peerTimeout);
  reader.Read("commit_delay", aSettings.m_commitDelay);
  reader.Read("commit_batch", aSettings.m_commitBatch);
  reader.Read("record_retention", aSettings.m_recordRetention);
  reader.Read("queue_limit", aSettings.m_queueLimit);
  reader.Read("hop_limit", aSettings.m_hopLimit);
  reader.Read("candidate_sample", aSettings.m_candidateSample);
  reader.Read("stop_limit", aSettings.m_stopLimit);
}

ProcessSettings ReadFields(const json& aDocument)
{
  ProcessSettings settings;
  const SectionReader root(&aDocument);
  root.Read("entry", settings.m_scheduler.m_entry);
  root.Read("data_centre", settings.m_scheduler.m_dataCentre);
  root.Read("operator_token", settings.m_operatorToken);
  root.Read("event_queue_limit", settings.m_eventQueueLimit);
  ReadHttp(FindMember(aDocument, "http"), settings);
  ReadPeers(FindMember(aDocument, "peers"), settings);
  ReadScheduler(FindMember(aDocument, "scheduler"), settings.m_scheduler);

  const SectionReader platform(FindMember(aDocument, "platform"));
  platform.Read("url", settings.m_platformUrl);
  platform.Read("timeout", settings.m_platformTimeout);
  platform.Read("threads", settings.m_platformThreads);

  const SectionReader targets(FindMember(aDocument, "targets"));
  targets.Read("timeout", settings.m_targetTimeout);
  targets.Read("threads", settings.m_targetThreads);

  const SectionReader log(FindMember(aDocument, "log"));
  log.Read("level", settings.m_logLevel);
  log.Read("json", settings.m_logJson);
  return settings;
}

} // namespace

SettingsDocument ReadSettings(const std::string& aText,
                              const std::string& aFile)
{
  ProblemList problems(aFile);
  const json document = ParseJson(aText, problems);
  ProcessSettings settings;
  if (problems.Empty()) {
    settings = ReadFields(document);
    static const DocumentSchema kSchema(SettingsSchema());
    kSchema.Check(document, problems);
    CheckSettingsRules(document, settings, problems);
  }
  SettingsDocument result;
  if (problems.Empty()) {
    result.m_settings =
      std::make_shared<const ProcessSettings>(std::move(settings));
  }
  result.m_problems = problems.Take();
  return result;
}

} // namespace lycheestep
