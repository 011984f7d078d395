#include "work_switches.h"

#include <utility>

#include "rows.pb.h"
#include "table_calls.h"

namespace lycheestep {

namespace {

constexpr const char* kPrefix = "work/";

bool Same(const WorkSwitch& aLeft, const WorkSwitch& aRight)
{
  return aLeft.m_stopped == aRight.m_stopped &&
         aLeft.m_draining == aRight.m_draining &&
         aLeft.m_serviceRequest == aRight.m_serviceRequest;
}

} // namespace

WorkSwitches::WorkSwitches(TableCalls& aTable)
  : m_table(aTable)
{
}

std::string WorkSwitches::KeyOf(const KindName& aKind)
{
  return kPrefix + aKind.Text();
}

WorkSwitch WorkSwitches::Get(const KindName& aKind) const
{
  auto found = m_switches.find(aKind);
  return found == m_switches.end() ? WorkSwitch() : found->second;
}

void WorkSwitches::Tick(CoreContext& aContext)
{
  if (m_reading || aContext.m_now < m_nextRead) {
    return;
  }
  m_reading = true;
  TableQuery query;
  query.m_prefixes.emplace_back(kPrefix);
  m_table.Read(aContext,
               std::move(query),
               [this](CoreContext& aLater, const TableAnswer& aAnswer) {
                 HandleRead(aLater, aAnswer);
               });
  m_nextRead = aContext.m_now + aContext.m_settings.m_cataloguePeriod;
}

void WorkSwitches::HandleRead(CoreContext& aContext, const TableAnswer& aAnswer)
{
  m_reading = false;
  if (aAnswer.m_status != TableStatus::kOk) {
    return;
  }
  std::map<KindName, WorkSwitch> next;
  for (const TableRow& row : aAnswer.m_rows) {
    proto::WorkRow value;
    if (row.m_version == 0 || !value.ParseFromString(row.m_value)) {
      continue;
    }
    const KindName kind(row.m_key.substr(std::string(kPrefix).size()));
    next[kind] = WorkSwitch{ value.stopped(),
                             value.draining(),
                             RequestId(value.service_request()) };
  }
  const std::map<KindName, WorkSwitch> former =
    std::exchange(m_switches, std::move(next));
  if (m_listener == nullptr) {
    return;
  }
  for (const auto& [kind, state] : m_switches) {
    auto before = former.find(kind);
    if (before == former.end() || !Same(before->second, state)) {
      m_listener->OnSwitchChanged(aContext, kind, state);
    }
  }
  for (const auto& [kind, state] : former) {
    if (m_switches.count(kind) == 0) {
      m_listener->OnSwitchChanged(aContext, kind, WorkSwitch());
    }
  }
}

} // namespace lycheestep
