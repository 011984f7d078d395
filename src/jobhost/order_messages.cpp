#include "order_messages.h"

#include <chrono>

#include "jobs.pb.h"

namespace lycheestep {

namespace {

void EncodeRun(const RunName& aRun, proto::RunNameMessage& aMessage)
{
  EncodeStepName(aRun.m_task.m_step, *aMessage.mutable_step());
  aMessage.set_index(aRun.m_task.m_index);
  aMessage.set_run(aRun.m_run);
}

RunName DecodeRun(const proto::RunNameMessage& aMessage)
{
  return RunName{ TaskName{ DecodeStepName(aMessage.step()), aMessage.index() },
                  aMessage.run() };
}

void EncodeAddress(const OrderAddress& aTo, proto::CarriedOrder& aMessage)
{
  aMessage.set_target(aTo.m_target.Text());
  aMessage.set_address(aTo.m_address.Text());
  aMessage.set_fence(aTo.m_fence);
  aMessage.set_process_started_ms(aTo.m_started.count());
}

// An order to a text that is no address goes nowhere: it is answered as not
// sent.
NetworkAddress ParseTargetAddress(const proto::CarriedOrder& aMessage)
{
  return NetworkAddress::ParseNumeric(aMessage.address())
    .value_or(NetworkAddress());
}

OrderAddress DecodeAddress(const proto::CarriedOrder& aMessage)
{
  return OrderAddress{ TargetId(aMessage.target()),
                       ParseTargetAddress(aMessage),
                       aMessage.fence(),
                       WallTime(aMessage.process_started_ms()) };
}

OrderStatus DecodeStatus(std::uint32_t aStatus)
{
  return aStatus <= static_cast<std::uint32_t>(OrderStatus::kWithdrawn)
           ? static_cast<OrderStatus>(aStatus)
           : OrderStatus::kUnknown;
}

} // namespace

void EncodeStepName(const StepName& aStep, proto::StepNameMessage& aMessage)
{
  aMessage.set_job(aStep.m_job.Text());
  aMessage.set_occurrence(aStep.m_occurrence);
  aMessage.set_step(aStep.m_step);
}

StepName DecodeStepName(const proto::StepNameMessage& aMessage)
{
  return StepName{ JobId(aMessage.job()),
                   aMessage.occurrence(),
                   aMessage.step() };
}

void EncodeStart(const StartOrder& aOrder, proto::CarriedOrder& aMessage)
{
  EncodeAddress(aOrder.m_to, aMessage);
  proto::CarriedStart* start = aMessage.mutable_start();
  EncodeRun(aOrder.m_run, *start->mutable_run());
  start->set_payload(aOrder.m_payload);
  start->set_lease_end_ms(aOrder.m_leaseEnd.count());
  start->set_checkpoint(aOrder.m_checkpoint);
  start->set_ticket(aOrder.m_ticket);
}

void EncodeStop(const StopOrder& aOrder, proto::CarriedOrder& aMessage)
{
  EncodeAddress(aOrder.m_to, aMessage);
  EncodeRun(aOrder.m_run, *aMessage.mutable_stop());
}

void EncodePace(const PaceOrder& aOrder, proto::CarriedOrder& aMessage)
{
  EncodeAddress(aOrder.m_to, aMessage);
  proto::CarriedPace* pace = aMessage.mutable_pace();
  EncodeRun(aOrder.m_run, *pace->mutable_run());
  pace->set_percent(aOrder.m_percent);
}

void EncodeHold(const HoldOrder& aOrder,
                HoldPath aPath,
                proto::CarriedOrder& aMessage)
{
  EncodeAddress(aOrder.m_to, aMessage);
  proto::CarriedHold* hold = aMessage.mutable_hold();
  hold->set_lease_end_ms(aOrder.m_leaseEnd.count());
  hold->set_forget_ends(aOrder.m_forgetEnds);
  hold->set_wait_ms(static_cast<std::uint64_t>(ToMilliseconds(aOrder.m_wait)));
  hold->set_watch(aPath == HoldPath::kWatch);
}

void EncodeWithdrawal(const WithdrawOrder& aOrder,
                      proto::CarriedOrder& aMessage)
{
  aMessage.set_target(aOrder.m_target.Text());
  proto::CarriedWithdrawal* withdrawal = aMessage.mutable_withdrawal();
  if (aOrder.m_run) {
    EncodeRun(*aOrder.m_run, *withdrawal->mutable_run());
  }
}

StartOrder DecodeStart(const proto::CarriedOrder& aMessage)
{
  const proto::CarriedStart& start = aMessage.start();
  StartOrder order;
  order.m_to = DecodeAddress(aMessage);
  order.m_run = DecodeRun(start.run());
  order.m_payload = start.payload();
  order.m_leaseEnd = TargetTime(start.lease_end_ms());
  order.m_checkpoint = start.checkpoint();
  order.m_ticket = start.ticket();
  return order;
}

StopOrder DecodeStop(const proto::CarriedOrder& aMessage)
{
  return StopOrder{ DecodeAddress(aMessage), DecodeRun(aMessage.stop()) };
}

PaceOrder DecodePace(const proto::CarriedOrder& aMessage)
{
  return PaceOrder{ DecodeAddress(aMessage),
                    DecodeRun(aMessage.pace().run()),
                    aMessage.pace().percent() };
}

HoldOrder DecodeHold(const proto::CarriedOrder& aMessage, HoldPath& aPath)
{
  const proto::CarriedHold& hold = aMessage.hold();
  HoldOrder order;
  order.m_to = DecodeAddress(aMessage);
  order.m_leaseEnd = TargetTime(hold.lease_end_ms());
  order.m_forgetEnds = hold.forget_ends();
  order.m_wait = std::chrono::milliseconds(hold.wait_ms());
  aPath = hold.watch() ? HoldPath::kWatch : HoldPath::kOrders;
  return order;
}

WithdrawOrder DecodeWithdrawal(const proto::CarriedOrder& aMessage)
{
  WithdrawOrder order;
  order.m_target = TargetId(aMessage.target());
  if (aMessage.withdrawal().has_run()) {
    order.m_run = DecodeRun(aMessage.withdrawal().run());
  }
  return order;
}

void EncodeAnswer(const OrderAnswer& aAnswer, proto::CarriedAnswer& aMessage)
{
  aMessage.set_status(static_cast<std::uint32_t>(aAnswer.m_status));
  aMessage.set_target_clock_ms(aAnswer.m_targetClock.count());
}

void EncodeAnswer(const HoldAnswer& aAnswer, proto::CarriedAnswer& aMessage)
{
  aMessage.set_status(static_cast<std::uint32_t>(aAnswer.m_status));
  aMessage.set_target_clock_ms(aAnswer.m_targetClock.count());
  aMessage.set_started_ms(aAnswer.m_started.count());
  for (const RunningTask& running : aAnswer.m_running) {
    proto::RunningTaskMessage* entry = aMessage.add_running();
    EncodeRun(running.m_run, *entry->mutable_run());
    entry->set_checkpoint(running.m_checkpoint);
    entry->set_percent_done(running.m_percentDone);
    entry->set_load(running.m_load);
  }
  for (const EndedTask& ended : aAnswer.m_ended) {
    proto::EndedTaskMessage* entry = aMessage.add_ended();
    entry->set_number(ended.m_number);
    EncodeRun(ended.m_run, *entry->mutable_run());
    entry->set_end(static_cast<std::uint32_t>(ended.m_end));
    entry->set_checkpoint(ended.m_checkpoint);
  }
}

OrderAnswer DecodeOrderAnswer(const proto::CarriedAnswer& aMessage)
{
  return OrderAnswer{ DecodeStatus(aMessage.status()),
                      TargetTime(aMessage.target_clock_ms()) };
}

HoldAnswer DecodeHoldAnswer(const proto::CarriedAnswer& aMessage)
{
  HoldAnswer answer;
  answer.m_status = DecodeStatus(aMessage.status());
  answer.m_targetClock = TargetTime(aMessage.target_clock_ms());
  answer.m_started = WallTime(aMessage.started_ms());
  for (const proto::RunningTaskMessage& entry : aMessage.running()) {
    answer.m_running.push_back(RunningTask{ DecodeRun(entry.run()),
                                            entry.checkpoint(),
                                            entry.percent_done(),
                                            entry.load() });
  }
  for (const proto::EndedTaskMessage& entry : aMessage.ended()) {
    if (entry.end() > static_cast<std::uint32_t>(RunEnd::kGangAlone)) {
      return HoldAnswer();
    }
    answer.m_ended.push_back(EndedTask{ entry.number(),
                                        DecodeRun(entry.run()),
                                        static_cast<RunEnd>(entry.end()),
                                        entry.checkpoint() });
  }
  return answer;
}

} // namespace lycheestep
