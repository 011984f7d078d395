#include "target_list.h"

#include <utility>

#include "lycheestep/platform_documents.h"

namespace lycheestep {

TargetChanges TargetList::OnRows(const std::vector<Row>& aRows,
                                 const PlatformDocuments& aDocuments)
{
  TargetChanges changes;
  std::set<TargetId> missing;
  for (const Row& row : aRows) {
    const TargetId target(row.m_key.m_key);
    const auto record =
      row.m_removed ? std::nullopt : aDocuments.ReadTarget(row);
    if (!record) {
      if (!row.m_removed) {
        changes.m_malformed.push_back(target);
      }
      missing.insert(target);
      continue;
    }
    missing.erase(target);
    const auto known = m_records.find(target);
    const bool differs = known == m_records.end() || known->second != *record;
    if (differs) {
      m_records[target] = *record;
    }
    Compare(target, differs, changes);
  }
  for (const TargetId& target : missing) {
    m_records.erase(target);
    Compare(target, true, changes);
  }
  return changes;
}

TargetChanges TargetList::SetServices(std::set<ServiceName> aServices)
{
  m_services = std::move(aServices);
  TargetChanges changes;
  for (const auto& [target, record] : m_records) {
    Compare(target, false, changes);
  }
  return changes;
}

const TargetRecord* TargetList::Find(const TargetId& aTarget) const
{
  const auto found = m_records.find(aTarget);
  return found != m_records.end() ? &found->second : nullptr;
}

std::vector<TargetRecord> TargetList::UsableTargets() const
{
  std::vector<TargetRecord> usable;
  for (const TargetId& target : m_usable) {
    usable.push_back(m_records.at(target));
  }
  return usable;
}

void TargetList::Compare(const TargetId& aTarget,
                         bool aDiffers,
                         TargetChanges& aChanges)
{
  const TargetRecord* record = Find(aTarget);
  const bool usable =
    record != nullptr && m_services.count(record->m_service) > 0;
  if (!usable) {
    if (m_usable.erase(aTarget) > 0) {
      aChanges.m_gone.push_back(aTarget);
    }
    return;
  }
  const bool isNew = m_usable.insert(aTarget).second;
  if (isNew || aDiffers) {
    aChanges.m_changed.push_back(*record);
  }
}

} // namespace lycheestep
