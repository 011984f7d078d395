#ifndef LYCHEESTEP_RECORD_ROWS_H
#define LYCHEESTEP_RECORD_ROWS_H

#include <map>
#include <string>

#include "lycheestep/request.h"
#include "lycheestep/table.h"
#include "lycheestep/time_types.h"
#include "rows.pb.h"

namespace lycheestep {

// Between tries of a call to the table that failed; the time grows from the
// first to the second.
constexpr Duration kFirstRetry = std::chrono::milliseconds(250);
constexpr Duration kMostRetry = std::chrono::seconds(4);

// Rows of records in the table, as RecordKeeper writes and reads them.
std::string RecordKey(const RequestId& aId);

// True if nothing more happens to a request in this state.
bool IsFinal(proto::RecordRow::State aState);

// The row of the answer with this key; of version zero if it has none.
TableRow RowOf(const TableAnswer& aAnswer, const std::string& aKey);

// The rows of the answer by key; the pointers hold as long as the answer.
std::map<std::string, const TableRow*> IndexOf(const TableAnswer& aAnswer);

} // namespace lycheestep

#endif
