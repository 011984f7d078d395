#ifndef LYCHEESTEP_CALLER_GATEWAY_H
#define LYCHEESTEP_CALLER_GATEWAY_H

#include "lycheestep/action.h"

namespace lycheestep {

// Hands answers to the callers and operators that wait for them. No function
// waits; an answer to a ticket that nobody holds is dropped.
class CallerGateway
{
public:
  virtual ~CallerGateway() = default;

  virtual void Deliver(AnswerCaller aAnswer) = 0;
  virtual void Deliver(AnswerExplain aAnswer) = 0;
  virtual void Deliver(AnswerOperator aAnswer) = 0;
};

} // namespace lycheestep

#endif
