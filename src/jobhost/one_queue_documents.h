#ifndef LYCHEESTEP_ONE_QUEUE_DOCUMENTS_H
#define LYCHEESTEP_ONE_QUEUE_DOCUMENTS_H

#include <optional>
#include <string>

#include "lycheestep/platform_documents.h"

namespace lycheestep {

// Each row of the configuration stands for one queue, each row of the targets
// for one target with one core, which drains if the row says so.
class OneQueueDocuments : public PlatformDocuments
{
public:
  static QueueConfig Queue()
  {
    QueueConfig queue;
    queue.m_name = QueueName("queue");
    queue.m_service = ServiceName("desk");
    return queue;
  }

  std::string ConfigTable() const override { return "op"; }

  std::optional<ClusterConfig> ReadConfig(const Row& /*aRow*/) const override
  {
    ClusterConfig config;
    config.m_version = 1;
    config.m_queues.push_back(Queue());
    config.m_services.resize(1);
    config.m_services[0].m_name = Queue().m_service;
    return config;
  }

  std::string TargetTable() const override { return "servers"; }

  std::optional<TargetRecord> ReadTarget(const Row& aRow) const override
  {
    TargetRecord record;
    record.m_target = TargetId(aRow.m_key.m_key);
    record.m_service = Queue().m_service;
    record.m_address = NetworkAddress::ParseOrNone("10.0.0.1:1");
    record.m_capacity = Resources(1000, 1000, 0, 0, 0);
    record.m_draining = aRow.m_value == "draining";
    return record;
  }
};

} // namespace lycheestep

#endif
