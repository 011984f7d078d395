#include "standin_work.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace lycheestep {

TaskBehaviour BehaviourOf(const TaskStart& aStart, Duration aRunTime)
{
  TaskBehaviour behaviour;
  behaviour.m_runTime = aRunTime;
  behaviour.m_usage = aStart.m_demand;
  behaviour.m_answer =
    "answer to " + aStart.m_request.Text() + ": " + aStart.m_body;
  const auto json = nlohmann::json::parse(aStart.m_body, nullptr, false);
  if (!json.is_object()) {
    return behaviour;
  }
  const auto runTime = json.find("run_ms");
  if (runTime != json.end() && runTime->is_number_unsigned()) {
    behaviour.m_runTime =
      std::chrono::milliseconds(runTime->get<std::uint32_t>());
  }
  const auto fail = json.find("fail");
  behaviour.m_succeeds =
    fail == json.end() || !fail->is_boolean() || !fail->get<bool>();
  return behaviour;
}

} // namespace lycheestep
