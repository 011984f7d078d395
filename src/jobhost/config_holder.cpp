#include "config_holder.h"

namespace lycheestep {

bool ConfigHolder::Put(const ClusterConfig& aConfig)
{
  auto config = std::make_shared<const ClusterConfig>(aConfig);
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_config && m_config->m_version >= aConfig.m_version) {
    return false;
  }
  m_config = std::move(config);
  return true;
}

std::shared_ptr<const ClusterConfig> ConfigHolder::Get() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_config;
}

std::uint64_t ConfigHolder::Version() const
{
  const auto config = Get();
  return config ? config->m_version : 0;
}

const QueueConfig* FindQueue(const ClusterConfig& aConfig,
                             const std::string& aHostHeader,
                             const std::string& aPath)
{
  const std::string host = aHostHeader.substr(0, aHostHeader.find(':'));
  const QueueConfig* best = nullptr;
  for (const QueueConfig& queue : aConfig.m_queues) {
    const bool matches =
      queue.m_hostHeader == host &&
      aPath.compare(0, queue.m_pathPrefix.size(), queue.m_pathPrefix) == 0;
    if (matches && (best == nullptr ||
                    best->m_pathPrefix.size() < queue.m_pathPrefix.size())) {
      best = &queue;
    }
  }
  return best;
}

} // namespace lycheestep
