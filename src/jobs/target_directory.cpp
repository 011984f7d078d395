#include "target_directory.h"

#include <utility>

namespace lycheestep {

void TargetDirectory::OnRead(const TargetAddress& aAddress)
{
  m_entries[aAddress.m_target].m_address = aAddress;
}

void TargetDirectory::OnUnreadable(const TargetId& aTarget)
{
  Entry& entry = m_entries[aTarget];
  entry.m_isRemoved = true;
  MarkChanged(entry);
}

bool TargetDirectory::Has(const TargetId& aTarget) const
{
  const auto entry = m_entries.find(aTarget);
  return entry != m_entries.end() && !entry->second.m_isRemoved;
}

void TargetDirectory::Add(const TargetAddress& aAddress)
{
  if (aAddress.m_address.IsNone()) {
    return;
  }
  Entry& entry = m_entries[aAddress.m_target];
  entry.m_unneededSince = TimePoint();
  if (entry.m_address == aAddress && !entry.m_isRemoved) {
    return;
  }
  entry.m_address = aAddress;
  entry.m_isRemoved = false;
  MarkChanged(entry);
}

void TargetDirectory::RemoveUnneeded(
  const std::function<bool(const TargetId&)>& aIsNeeded,
  Duration aDelay,
  TimePoint aNow)
{
  for (auto& [target, entry] : m_entries) {
    if (aIsNeeded(target)) {
      entry.m_unneededSince = TimePoint();
    } else if (entry.m_unneededSince == TimePoint()) {
      entry.m_unneededSince = aNow;
    } else if (aNow - entry.m_unneededSince >= aDelay && !entry.m_isRemoved) {
      entry.m_isRemoved = true;
      MarkChanged(entry);
    }
  }
}

void TargetDirectory::MarkChanged(Entry& aEntry)
{
  m_changed += aEntry.m_isChanged ? 0 : 1;
  aEntry.m_isChanged = true;
}

TargetDirectory::Changes TargetDirectory::TakeChanges(std::size_t aMaxRows)
{
  Changes changes;
  for (auto it = m_entries.begin();
       HasChanges() && changes.Count() < aMaxRows && it != m_entries.end();
       ++it) {
    Entry& entry = it->second;
    if (!entry.m_isChanged) {
      continue;
    }
    const RowKey key = TargetAddressKey(it->first);
    if (entry.m_isRemoved) {
      changes.m_removals.push_back(key);
    } else {
      changes.m_writes.push_back(
        RowWrite{ key, EncodeTargetAddress(entry.m_address) });
    }
    entry.m_isChanged = false;
    --m_changed;
    m_committing.push_back(it->first);
  }
  return changes;
}

void TargetDirectory::OnCommitted()
{
  for (const TargetId& target : m_committing) {
    const auto entry = m_entries.find(target);
    const bool isGone = entry != m_entries.end() && entry->second.m_isRemoved &&
                        !entry->second.m_isChanged;
    if (isGone) {
      m_entries.erase(entry);
    }
  }
  m_committing.clear();
}

void TargetDirectory::OnCommitRejected()
{
  for (const TargetId& target : m_committing) {
    MarkChanged(m_entries.at(target));
  }
  m_committing.clear();
}

} // namespace lycheestep
