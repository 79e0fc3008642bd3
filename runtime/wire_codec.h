/// @file
/// Converts between the program's types and the protobuf messages between daemons.
#pragma once

#include "config/object_cache.h"
#include "membership/membership.h"
#include "proto/peer.pb.h"
#include "routing/order.h"

namespace hawthornlug {

DaemonRef DecodeRef(const wire::Ref& aMessage);

/// The deadline is sent as the time left at @p aNow, since the clocks of two hosts are not
/// comparable.
void EncodeOrder(const Order& aOrder, Instant aNow, wire::Order& aMessage);
Order DecodeOrder(const wire::Order& aMessage, Instant aNow);

void EncodeAnswer(const OrderAnswer& aAnswer, wire::OrderAnswer& aMessage);
/// Returns an answer with an unknown outcome if the message has an unknown outcome or reason, or a
/// status or header fields that can't be written to a caller (http/syntax.h).
OrderAnswer DecodeAnswer(const wire::OrderAnswer& aMessage);

/// The sender is always the first member in a heartbeat message.
void EncodeHeartbeat(const Member& aSelf, const HeartbeatInfo& aInfo, wire::Heartbeat& aMessage);
/// Returns false if the message does not name its sender.
bool DecodeHeartbeat(const wire::Heartbeat& aMessage, Member& aFrom, HeartbeatInfo& aInfo);

void EncodeObjects(const ObjectChanges& aChanges, wire::Objects& aMessage);
ObjectChanges DecodeObjects(const wire::Objects& aMessage);

} // namespace hawthornlug
