#include "record_rows.h"

namespace lycheestep {

namespace {

const std::string kRecordPrefix = "record/";

} // namespace

std::string RecordKey(const RequestId& aId)
{
  return kRecordPrefix + aId.Text();
}

bool IsFinal(proto::RecordRow::State aState)
{
  return aState == proto::RecordRow::DONE ||
         aState == proto::RecordRow::NOT_RUN;
}

TableRow RowOf(const TableAnswer& aAnswer, const std::string& aKey)
{
  for (const TableRow& row : aAnswer.m_rows) {
    if (row.m_key == aKey) {
      return row;
    }
  }
  return { aKey, "", 0 };
}

std::map<std::string, const TableRow*> IndexOf(const TableAnswer& aAnswer)
{
  std::map<std::string, const TableRow*> index;
  for (const TableRow& row : aAnswer.m_rows) {
    index[row.m_key] = &row;
  }
  return index;
}

} // namespace lycheestep
