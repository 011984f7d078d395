#ifndef LYCHEESTEP_STORE_MESSAGES_H
#define LYCHEESTEP_STORE_MESSAGES_H

#include "lycheestep/row_store.h"

namespace lycheestep {

namespace proto {
class RowTransactionMessage;
class StoreReply;
}

// Calls to the store and their answers as hosts relay them to each other.
void EncodeTransactionMessage(const RowTransaction& aTransaction,
                              proto::RowTransactionMessage& aMessage);
RowTransaction DecodeTransactionMessage(
  const proto::RowTransactionMessage& aMessage);
void EncodeStoreReply(const RowAnswer& aAnswer, proto::StoreReply& aReply);
RowAnswer DecodeStoreReply(const proto::StoreReply& aReply);

} // namespace lycheestep

#endif
