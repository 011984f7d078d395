#ifndef LYCHEESTEP_STORE_MESSAGES_H
#define LYCHEESTEP_STORE_MESSAGES_H

#include "lycheestep/row_store.h"

namespace lycheestep {

namespace proto {
class RowTransactionMessage;
class StoreReply;
}

// These functions convert transactions and answers of the row store to and from
// the messages in which hosts relay them. A reply whose status is unknown to
// this version is decoded to an answer with RowStatus::kUnknown.
void EncodeTransactionMessage(const RowTransaction& aTransaction,
                              proto::RowTransactionMessage& aMessage);
RowTransaction DecodeTransactionMessage(
  const proto::RowTransactionMessage& aMessage);
void EncodeStoreReply(const RowAnswer& aAnswer, proto::StoreReply& aReply);
RowAnswer DecodeStoreReply(const proto::StoreReply& aReply);

} // namespace lycheestep

#endif
