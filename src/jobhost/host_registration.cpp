#include "host_registration.h"

#include <chrono>
#include <utility>

#include "job_rows.h"

namespace lycheestep {

namespace {

constexpr Duration kCallTimeout = std::chrono::milliseconds(600);

// The time between two tries to write the row.
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);

// A host that gets no heartbeats writes its row again after this time.
constexpr Duration kRenewalDelay = std::chrono::seconds(10);

} // namespace

HostRegistration::HostRegistration(const std::string& aHost,
                                   std::string aValue,
                                   RowStore& aStore)
  : m_key(HostKey(aHost))
  , m_value(std::move(aValue))
  , m_store(aStore)
{
}

void HostRegistration::Tick(bool aLeads, TimePoint aNow)
{
  const bool written =
    m_version > 0 && (aLeads || aNow - m_lastSign < kRenewalDelay);
  if (written || aNow < m_retryAt) {
    return;
  }
  m_retryAt = aNow + kRetryDelay;
  RowTransaction transaction;
  transaction.m_writes.push_back(RowWrite{ m_key, m_value });
  const RowAnswer answer = m_store.Transact(transaction, kCallTimeout);
  if (answer.m_status == RowStatus::kOk) {
    m_version = answer.m_version;
    m_lastSign = aNow;
  }
}

void HostRegistration::Remove()
{
  if (m_version == 0) {
    return;
  }
  // The store may do the removal late, when the host's next process has written
  // the row.
  RowTransaction transaction;
  transaction.m_conditions.push_back(RowCondition{ m_key, m_version });
  transaction.m_removals.push_back(m_key);
  m_store.Transact(transaction, kCallTimeout);
}

} // namespace lycheestep
