#ifndef LYCHEESTEP_MOCK_ROW_STORE_H
#define LYCHEESTEP_MOCK_ROW_STORE_H

#include <gmock/gmock.h>

#include "lycheestep/row_store.h"

namespace lycheestep {

// MockRowStore replaces the row store in tests of the classes that call it.
class MockRowStore : public RowStore
{
public:
  MOCK_METHOD(RowAnswer,
              Transact,
              (const RowTransaction&, Duration),
              (override));
  MOCK_METHOD(RowAnswer, Read, (const RowRange&, Duration), (override));
  MOCK_METHOD(RowAnswer,
              Feed,
              (const std::string&, std::uint64_t, Duration, Duration),
              (override));
};

// Returns an answer without rows.
inline RowAnswer MakeRowAnswer(RowStatus aStatus, std::uint64_t aVersion = 0)
{
  RowAnswer answer;
  answer.m_status = aStatus;
  answer.m_version = aVersion;
  return answer;
}

} // namespace lycheestep

#endif
