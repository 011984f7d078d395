#include "operator_flow.h"

#include <algorithm>
#include <utility>

#include "core_parts.h"
#include "lycheestep/scheduler_error.h"
#include "planned_slowdown.h"
#include "request_intake.h"
#include "rows.pb.h"
#include "task_flow.h"

namespace lycheestep {

namespace {

std::string AnnouncedPrefix(const KindName& aKind)
{
  return "announced/" + aKind.Text() + "/";
}

std::string AnnouncedKey(const KindName& aKind, const CustomerName& aCustomer)
{
  return AnnouncedPrefix(aKind) + aCustomer.Text();
}

std::int64_t UnixMilliseconds(const OperatorCommand& aCommand)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           aCommand.m_askedAt.time_since_epoch())
    .count();
}

std::string NamesOf(const std::vector<Customer>& aCustomers)
{
  std::string names;
  for (const Customer& customer : aCustomers) {
    names += names.empty() ? "" : ", ";
    names += customer.m_name.Text();
  }
  return names;
}

bool Names(const std::vector<Customer>& aCustomers, const Customer& aCustomer)
{
  return std::any_of(
    aCustomers.begin(), aCustomers.end(), [&aCustomer](const Customer& aOther) {
      return aOther.m_name == aCustomer.m_name;
    });
}

void RemoveRows(const std::vector<TableRow>& aRows,
                TableTransaction& aTransaction)
{
  for (const TableRow& row : aRows) {
    aTransaction.m_conditions.push_back({ row.m_key, row.m_version });
    aTransaction.m_writes.push_back({ row.m_key, std::string(), true });
  }
}

} // namespace

OperatorFlow::OperatorFlow(CoreParts& aParts,
                           RequestIntake& aIntake,
                           TaskFlow& aTasks)
  : m_parts(aParts)
  , m_intake(aIntake)
  , m_tasks(aTasks)
{
}

void OperatorFlow::Handle(CoreContext& aContext,
                          CallerTicket aTicket,
                          const OperatorCommand& aCommand)
{
  const auto forward = [this, aTicket](CoreContext& aLater,
                                       const OperatorReply& aReply) {
    Reply(aLater, aTicket, aReply);
  };
  switch (aCommand.m_verb) {
    case OperatorVerb::kApply:
      Apply(aContext, aTicket, aCommand);
      return;
    case OperatorVerb::kShow: {
      OperatorReply reply;
      reply.m_catalogue = m_parts.m_catalogue.Current();
      Reply(aContext, aTicket, std::move(reply));
      return;
    }
    case OperatorVerb::kHistory:
      m_parts.m_catalogue.History(aContext, forward);
      return;
    case OperatorVerb::kStatus:
      Status(aContext, aTicket);
      return;
    case OperatorVerb::kStart:
    case OperatorVerb::kStop:
    case OperatorVerb::kDrain:
      ChangeSwitch(aContext, aTicket, aCommand);
      return;
    case OperatorVerb::kAnnounce:
      Announce(aContext, aTicket, aCommand);
      return;
  }
}

void OperatorFlow::Apply(CoreContext& aContext,
                         CallerTicket aTicket,
                         const OperatorCommand& aCommand)
{
  const auto former = m_parts.m_catalogue.Current();
  std::vector<KindName> touched;
  if (former != nullptr && aCommand.m_catalogue != nullptr) {
    for (const KindName& kind : SlowedKinds(*former, *aCommand.m_catalogue)) {
      if (!former->PromisedCustomersOf(kind).empty()) {
        touched.push_back(kind);
      }
    }
  }
  // A change against an older version is a conflict, whomever it touches.
  const bool stale =
    former != nullptr && aCommand.m_baseVersion < former->m_version;
  if (touched.empty() || stale) {
    ApplyNow(aContext, aTicket, aCommand, {});
    return;
  }
  ReadAnnouncements(
    aContext,
    touched,
    [this, aTicket, aCommand](CoreContext& aLater,
                              const Announcements& aAnnouncements) {
      if (!aAnnouncements.m_reached || !aAnnouncements.m_toCall.empty()) {
        OperatorReply reply;
        reply.m_error = aAnnouncements.m_reached
                          ? SchedulerError::kPromiseHeld
                          : SchedulerError::kPlatformUnreachable;
        reply.m_toCall = aAnnouncements.m_toCall;
        reply.m_detail = aAnnouncements.m_reached
                           ? "call first: " + NamesOf(reply.m_toCall)
                           : "the platform's table can't be reached";
        Reply(aLater, aTicket, std::move(reply));
        return;
      }
      ApplyNow(aLater, aTicket, aCommand, aAnnouncements.m_rows);
    });
}

void OperatorFlow::ApplyNow(CoreContext& aContext,
                            CallerTicket aTicket,
                            const OperatorCommand& aCommand,
                            const std::vector<TableRow>& aUsedUp)
{
  m_parts.m_catalogue.Apply(
    aContext,
    aCommand,
    [this, aTicket, aCommand, aUsedUp](CoreContext& aLater,
                                       const OperatorReply& aReply) {
      if (!aReply.m_error && !aUsedUp.empty()) {
        TableTransaction audit;
        RemoveRows(aUsedUp, audit);
        AddAudit(aLater, aCommand, "slowed down by a catalogue change", audit);
        m_parts.m_table.Transact(
          aLater, std::move(audit), [](CoreContext&, const TableAnswer&) {});
      }
      Reply(aLater, aTicket, aReply);
    });
}

void OperatorFlow::ChangeSwitch(CoreContext& aContext,
                                CallerTicket aTicket,
                                const OperatorCommand& aCommand)
{
  const auto catalogue = m_parts.m_catalogue.Current();
  if (catalogue == nullptr || catalogue->FindKind(aCommand.m_kind) == nullptr) {
    ReplyDetail(aContext,
                aTicket,
                SchedulerError::kUnknownKind,
                "the catalogue has no kind '" + aCommand.m_kind.Text() + "'");
    return;
  }
  ReadAnnouncements(
    aContext,
    { aCommand.m_kind },
    [this, aTicket, aCommand](CoreContext& aLater,
                              const Announcements& aAnnouncements) {
      if (!aAnnouncements.m_reached) {
        ReplyDetail(aLater,
                    aTicket,
                    SchedulerError::kPlatformUnreachable,
                    "the platform's table can't be reached; ask again");
        return;
      }
      const bool slows = aCommand.m_verb != OperatorVerb::kStart;
      if (slows && !aAnnouncements.m_toCall.empty()) {
        OperatorReply reply;
        reply.m_error = SchedulerError::kPromiseHeld;
        reply.m_toCall = aAnnouncements.m_toCall;
        reply.m_detail = "call first: " + NamesOf(reply.m_toCall);
        Reply(aLater, aTicket, std::move(reply));
        return;
      }
      if (!slows && aAnnouncements.m_runs) {
        ReplyDetail(
          aLater, aTicket, {}, aCommand.m_kind.Text() + " runs already");
        return;
      }
      WriteSwitch(aLater, aTicket, aCommand, aAnnouncements);
    });
}

void OperatorFlow::WriteSwitch(CoreContext& aContext,
                               CallerTicket aTicket,
                               const OperatorCommand& aCommand,
                               const Announcements& aAnnouncements)
{
  const std::string key = WorkSwitches::KeyOf(aCommand.m_kind);
  TableTransaction transaction;
  transaction.m_conditions.push_back({ key, aAnnouncements.m_switchVersion });
  proto::WorkRow row;
  row.set_operator_name(aCommand.m_operator);
  std::string what = "started";
  if (aCommand.m_verb == OperatorVerb::kStart) {
    const auto catalogue = m_parts.m_catalogue.Current();
    const WorkKind* kind = catalogue->FindKind(aCommand.m_kind);
    if (kind != nullptr && kind->m_form == WorkForm::kService) {
      row.set_service_request("service-" + aCommand.m_kind.Text() + "-" +
                              std::to_string(aContext.m_random()));
    }
  } else {
    const bool drains = aCommand.m_verb == OperatorVerb::kDrain;
    what = drains ? "drained" : "stopped";
    row.set_stopped(true);
    row.set_draining(drains);
    RemoveRows(aAnnouncements.m_rows, transaction);
  }
  transaction.m_writes.push_back({ key, row.SerializeAsString(), false });
  const std::string audit = AddAudit(aContext, aCommand, what, transaction);
  Commit(aContext,
         aTicket,
         std::move(transaction),
         audit,
         aCommand.m_kind.Text() + " is " + what,
         [this](CoreContext&) { m_parts.m_switches.Refresh(); });
}

void OperatorFlow::Announce(CoreContext& aContext,
                            CallerTicket aTicket,
                            const OperatorCommand& aCommand)
{
  const auto catalogue = m_parts.m_catalogue.Current();
  std::vector<const Customer*> promised;
  if (catalogue != nullptr) {
    promised = catalogue->PromisedCustomersOf(aCommand.m_kind);
  }
  const bool known = std::any_of(
    promised.begin(), promised.end(), [&aCommand](const Customer* aCustomer) {
      return aCustomer->m_name == aCommand.m_customer;
    });
  if (!known) {
    ReplyDetail(aContext,
                aTicket,
                SchedulerError::kNotFound,
                "'" + aCommand.m_customer.Text() + "' holds no promise for '" +
                  aCommand.m_kind.Text() + "'");
    return;
  }
  proto::AnnouncedRow row;
  row.set_operator_name(aCommand.m_operator);
  row.set_at_unix_ms(UnixMilliseconds(aCommand));
  TableTransaction transaction;
  transaction.m_writes.push_back(
    { AnnouncedKey(aCommand.m_kind, aCommand.m_customer),
      row.SerializeAsString(),
      false });
  const std::string audit =
    AddAudit(aContext, aCommand, "customer called", transaction);
  Commit(aContext,
         aTicket,
         std::move(transaction),
         audit,
         "recorded that " + aCommand.m_customer.Text() + " was called",
         [](CoreContext&) {});
}

void OperatorFlow::ReadAnnouncements(CoreContext& aContext,
                                     const std::vector<KindName>& aKinds,
                                     const AnnouncementsRead& aContinue)
{
  TableQuery query;
  for (const KindName& kind : aKinds) {
    query.m_prefixes.push_back(AnnouncedPrefix(kind));
    query.m_keys.push_back(WorkSwitches::KeyOf(kind));
  }
  m_parts.m_table.Read(
    aContext,
    std::move(query),
    [this, aKinds, aContinue](CoreContext& aLater, const TableAnswer& aAnswer) {
      Announcements announcements;
      announcements.m_reached = aAnswer.m_status == TableStatus::kOk;
      std::vector<std::string> called;
      for (const TableRow& row : aAnswer.m_rows) {
        if (row.m_key.rfind("announced/", 0) == 0 && row.m_version > 0) {
          announcements.m_rows.push_back(row);
          called.push_back(row.m_key);
        } else {
          proto::WorkRow value;
          announcements.m_switchVersion = row.m_version;
          announcements.m_runs = row.m_version > 0 &&
                                 value.ParseFromString(row.m_value) &&
                                 !value.stopped();
        }
      }
      const auto catalogue = m_parts.m_catalogue.Current();
      for (const KindName& kind : aKinds) {
        for (const Customer* customer : catalogue->PromisedCustomersOf(kind)) {
          const std::string key = AnnouncedKey(kind, customer->m_name);
          const bool done =
            std::find(called.begin(), called.end(), key) != called.end();
          if (!done && !Names(announcements.m_toCall, *customer)) {
            announcements.m_toCall.push_back(*customer);
          }
        }
      }
      aContinue(aLater, announcements);
    });
}

void OperatorFlow::Commit(CoreContext& aContext,
                          CallerTicket aTicket,
                          TableTransaction aTransaction,
                          const std::string& aAuditKey,
                          const std::string& aDoneDetail,
                          const std::function<void(CoreContext&)>& aOnDone)
{
  m_parts.m_table.Transact(
    aContext,
    std::move(aTransaction),
    [this, aTicket, aAuditKey, aDoneDetail, aOnDone](
      CoreContext& aLater, const TableAnswer& aAnswer) {
      switch (aAnswer.m_status) {
        case TableStatus::kOk:
          aOnDone(aLater);
          ReplyDetail(aLater, aTicket, {}, aDoneDetail);
          return;
        case TableStatus::kConflict:
          ReplyDetail(aLater,
                      aTicket,
                      SchedulerError::kVersionConflict,
                      "another operator changed it; look again");
          return;
        case TableStatus::kNotSent:
          ReplyDetail(aLater,
                      aTicket,
                      SchedulerError::kPlatformUnreachable,
                      "the platform's table can't be reached; ask again");
          return;
        case TableStatus::kUnknown:
          ReadBack(aLater, aTicket, aAuditKey, aDoneDetail, aOnDone);
          return;
      }
    });
}

void OperatorFlow::ReadBack(CoreContext& aContext,
                            CallerTicket aTicket,
                            const std::string& aAuditKey,
                            const std::string& aDoneDetail,
                            const std::function<void(CoreContext&)>& aOnDone)
{
  TableQuery query;
  query.m_keys.push_back(aAuditKey);
  m_parts.m_table.Read(
    aContext,
    std::move(query),
    [this, aTicket, aDoneDetail, aOnDone](CoreContext& aLater,
                                          const TableAnswer& aAnswer) {
      const bool written = aAnswer.m_status == TableStatus::kOk &&
                           !aAnswer.m_rows.empty() &&
                           aAnswer.m_rows.front().m_version > 0;
      if (written) {
        aOnDone(aLater);
        ReplyDetail(aLater, aTicket, {}, aDoneDetail);
        return;
      }
      // A write that is still on its way may yet take effect.
      OperatorReply reply;
      reply.m_unknown = true;
      reply.m_detail = "the table's answer was lost; look at the status";
      Reply(aLater, aTicket, std::move(reply));
    });
}

void OperatorFlow::OnSwitchChanged(CoreContext& aContext,
                                   const KindName& aKind,
                                   const WorkSwitch& aSwitch)
{
  m_parts.m_queue.SetStopped(aKind, aSwitch.m_stopped);
  if (!aSwitch.m_serviceRequest.Empty()) {
    Request request;
    request.m_id = aSwitch.m_serviceRequest;
    request.m_kind = aKind;
    m_intake.Submit(aContext, Asker(), std::move(request));
  }
  if (!aSwitch.m_draining) {
    return;
  }
  std::vector<RequestId> running;
  for (const auto& [id, live] : m_parts.m_requests.Live()) {
    if (live.m_kind.m_name == aKind && live.AnyTaskOut()) {
      running.push_back(id);
    }
  }
  for (const RequestId& id : running) {
    m_tasks.StopTasks(
      aContext, *m_parts.m_requests.Find(id), SchedulerError::kWorkStopped);
  }
}

void OperatorFlow::Status(CoreContext& aContext, CallerTicket aTicket)
{
  OperatorReply reply;
  const auto add = [&reply](const char* aPart,
                            const std::string& aName,
                            const std::string& aValue) {
    reply.m_status.push_back({ aPart, aName, aValue });
  };
  add("host",
      aContext.m_settings.m_entry.Text(),
      m_parts.m_stop == StopStage::kNone ? "running" : "stopping");
  add(
    "table", "reachable", m_parts.m_session.IsTableReachable() ? "yes" : "no");
  add("session", "epoch", std::to_string(m_parts.m_session.Epoch()));
  add("grants", "free", m_parts.m_fleet.TotalFree(aContext.m_now).Describe());
  add("tasks", "running", std::to_string(m_parts.m_leases.Running()));
  add("records", "own", std::to_string(m_parts.m_records.OwnRecords()));
  if (const auto catalogue = m_parts.m_catalogue.Current()) {
    for (const WorkKind& kind : catalogue->m_kinds) {
      const WorkSwitch state = m_parts.m_switches.Get(kind.m_name);
      std::string value =
        std::to_string(m_parts.m_queue.Waiting(kind.m_name)) + " waiting, " +
        std::to_string(m_parts.m_queue.Running(kind.m_name)) + " running";
      if (state.m_stopped) {
        value += state.m_draining ? ", draining" : ", stopped";
      }
      add("queue", kind.m_name.Text(), value);
    }
  }
  for (const PeerEntry* peer : m_parts.m_peers.Alive(aContext.m_now)) {
    add("peer", peer->m_id.Text(), "alive, " + peer->m_load.m_free.Describe());
  }
  for (const FleetTarget& target : m_parts.m_fleet.Targets()) {
    std::string value = std::to_string(target.m_tasks) + " tasks";
    if (target.m_leaving) {
      value += ", leaving";
    }
    if (target.m_ejected) {
      value += ", ejected";
    }
    add("target", target.m_listing.m_id.Text(), value);
  }
  Reply(aContext, aTicket, std::move(reply));
}

void OperatorFlow::Reply(CoreContext& aContext,
                         CallerTicket aTicket,
                         OperatorReply aReply)
{
  aReply.m_version = m_parts.m_catalogue.Version();
  aContext.m_actions.emplace_back(AnswerOperator{ aTicket, std::move(aReply) });
}

void OperatorFlow::ReplyDetail(CoreContext& aContext,
                               CallerTicket aTicket,
                               std::error_code aError,
                               const std::string& aDetail)
{
  OperatorReply reply;
  reply.m_error = aError;
  reply.m_detail = aDetail;
  Reply(aContext, aTicket, std::move(reply));
}

std::string OperatorFlow::AddAudit(CoreContext& aContext,
                                   const OperatorCommand& aCommand,
                                   const std::string& aWhat,
                                   TableTransaction& aTransaction)
{
  proto::AuditRow row;
  row.set_what(aWhat);
  row.set_operator_name(aCommand.m_operator);
  row.set_kind(aCommand.m_kind.Text());
  row.set_customer(aCommand.m_customer.Text());
  row.set_detail(aCommand.m_message);
  row.set_at_unix_ms(UnixMilliseconds(aCommand));
  std::string key = "audit/" + std::to_string(UnixMilliseconds(aCommand)) +
                    "-" + std::to_string(aContext.m_random());
  aTransaction.m_writes.push_back({ key, row.SerializeAsString(), false });
  return key;
}

} // namespace lycheestep
