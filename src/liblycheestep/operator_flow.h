#ifndef LYCHEESTEP_OPERATOR_FLOW_H
#define LYCHEESTEP_OPERATOR_FLOW_H

#include <string>
#include <vector>

#include "core_context.h"
#include "lycheestep/operator_command.h"
#include "lycheestep/request.h"
#include "lycheestep/table.h"
#include "work_switches.h"

namespace lycheestep {

namespace proto {
class AuditRow;
}

struct CoreParts;
class RequestIntake;
class TaskFlow;

// Carries out what operators ask for. A planned slowdown that touches the
// work of promised customers is held until an announcement names each of
// them; it then uses the announcements up, in the same transaction where the
// table allows it, and leaves an audit row.
class OperatorFlow : public WorkSwitchListener
{
public:
  OperatorFlow(CoreParts& aParts, RequestIntake& aIntake, TaskFlow& aTasks);

  // Handles one command; the ticket is answered exactly once.
  void Handle(CoreContext& aContext,
              CallerTicket aTicket,
              const OperatorCommand& aCommand);

  void OnSwitchChanged(CoreContext& aContext,
                       const KindName& aKind,
                       const WorkSwitch& aSwitch) override;

private:
  // What has to be known before a kind may be slowed down.
  struct Announcements
  {
    bool m_reached = false;
    std::vector<TableRow> m_rows;
    // Version of the row of the kind's switch.
    std::uint64_t m_switchVersion = 0;
    // The row says that the kind was started.
    bool m_runs = false;
    // Promised customers who have not been called.
    std::vector<Customer> m_toCall;
  };
  using AnnouncementsRead =
    std::function<void(CoreContext&, const Announcements&)>;

  void Apply(CoreContext& aContext,
             CallerTicket aTicket,
             const OperatorCommand& aCommand);
  void ApplyNow(CoreContext& aContext,
                CallerTicket aTicket,
                const OperatorCommand& aCommand,
                const std::vector<TableRow>& aUsedUp);
  void ChangeSwitch(CoreContext& aContext,
                    CallerTicket aTicket,
                    const OperatorCommand& aCommand);
  void WriteSwitch(CoreContext& aContext,
                   CallerTicket aTicket,
                   const OperatorCommand& aCommand,
                   const Announcements& aAnnouncements);
  void Announce(CoreContext& aContext,
                CallerTicket aTicket,
                const OperatorCommand& aCommand);
  void ReadAnnouncements(CoreContext& aContext,
                         const std::vector<KindName>& aKinds,
                         const AnnouncementsRead& aContinue);
  void Commit(CoreContext& aContext,
              CallerTicket aTicket,
              TableTransaction aTransaction,
              const std::string& aAuditKey,
              const std::string& aDoneDetail,
              const std::function<void(CoreContext&)>& aOnDone);
  void ReadBack(CoreContext& aContext,
                CallerTicket aTicket,
                const std::string& aAuditKey,
                const std::string& aDoneDetail,
                const std::function<void(CoreContext&)>& aOnDone);
  void Status(CoreContext& aContext, CallerTicket aTicket);
  void Reply(CoreContext& aContext, CallerTicket aTicket, OperatorReply aReply);
  void ReplyDetail(CoreContext& aContext,
                   CallerTicket aTicket,
                   std::error_code aError,
                   const std::string& aDetail);
  std::string AddAudit(CoreContext& aContext,
                       const OperatorCommand& aCommand,
                       const std::string& aWhat,
                       TableTransaction& aTransaction);

  CoreParts& m_parts;
  RequestIntake& m_intake;
  TaskFlow& m_tasks;
};

} // namespace lycheestep

#endif
