// The part of JobHost that follows the configuration: the feed of the store
// tells of each change, and other hosts tell which version they have.
#include <chrono>
#include <string>

#include "job_host.h"

namespace lycheestep {

namespace {

// Timeout of a read of the configuration.
constexpr Duration kConfigReadTimeout = std::chrono::milliseconds(600);

// The most reads of the configuration at a time, as one of them may get no
// answer.
constexpr int kMaxConfigReads = 2;

} // namespace

void JobHost::OnConfigRows(const std::vector<Row>& aRows)
{
  for (const Row& row : aRows) {
    const auto config = m_dependencies.m_documents.ReadConfig(row);
    if (!config || !m_config.Put(*config)) {
      continue;
    }
    m_log.Write("config-applied",
                "version=" + std::to_string(config->m_version) +
                  " queues=" + std::to_string(config->m_queues.size()));
    m_queue.Add([this] {
      if (m_leader) {
        m_leader->OnConfig();
      }
    });
  }
}

void JobHost::OnConfigVersionHeard(std::uint64_t aVersion)
{
  if (aVersion <= m_config.Version() || m_configReads >= kMaxConfigReads) {
    return;
  }
  ++m_configReads;
  const bool queued = m_rowReads.Run([this] {
    RowRange range;
    range.m_table = m_dependencies.m_documents.ConfigTable();
    const RowAnswer answer = m_store.Read(range, kConfigReadTimeout);
    m_log.Write("config-read",
                std::string("outcome=") +
                  (answer.m_status == RowStatus::kOk ? "ok" : "no-answer"));
    OnConfigRows(answer.m_rows);
    --m_configReads;
  });
  if (!queued) {
    --m_configReads;
  }
}

} // namespace lycheestep
