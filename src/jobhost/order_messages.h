#ifndef LYCHEESTEP_ORDER_MESSAGES_H
#define LYCHEESTEP_ORDER_MESSAGES_H

#include "job_effects.h"

namespace lycheestep {

namespace proto {
class CarriedAnswer;
class CarriedOrder;
class RunNameMessage;
class StepNameMessage;
}

// Conversions between the orders and answers of targets and the protobuf
// messages in which hosts exchange them.
void EncodeStepName(const StepName& aStep, proto::StepNameMessage& aMessage);
StepName DecodeStepName(const proto::StepNameMessage& aMessage);

void EncodeStart(const StartOrder& aOrder, proto::CarriedOrder& aMessage);
void EncodeStop(const StopOrder& aOrder, proto::CarriedOrder& aMessage);
void EncodePace(const PaceOrder& aOrder, proto::CarriedOrder& aMessage);
void EncodeHold(const HoldOrder& aOrder,
                HoldPath aPath,
                proto::CarriedOrder& aMessage);
void EncodeWithdrawal(const WithdrawOrder& aOrder,
                      proto::CarriedOrder& aMessage);

// Each function requires a message that holds an order of its kind.
StartOrder DecodeStart(const proto::CarriedOrder& aMessage);
StopOrder DecodeStop(const proto::CarriedOrder& aMessage);
PaceOrder DecodePace(const proto::CarriedOrder& aMessage);
HoldOrder DecodeHold(const proto::CarriedOrder& aMessage, HoldPath& aPath);
WithdrawOrder DecodeWithdrawal(const proto::CarriedOrder& aMessage);

void EncodeAnswer(const OrderAnswer& aAnswer, proto::CarriedAnswer& aMessage);
void EncodeAnswer(const HoldAnswer& aAnswer, proto::CarriedAnswer& aMessage);

// An answer whose status this version does not know decodes as
// OrderStatus::kUnknown. So does a hold answer with a RunEnd that this version
// does not know.
OrderAnswer DecodeOrderAnswer(const proto::CarriedAnswer& aMessage);
HoldAnswer DecodeHoldAnswer(const proto::CarriedAnswer& aMessage);

} // namespace lycheestep

#endif
