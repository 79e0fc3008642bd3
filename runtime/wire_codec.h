/// @file
/// Translates between the program's types and the messages between daemons.
#pragma once

#include "config/object_cache.h"
#include "membership/membership.h"
#include "proto/peer.pb.h"
#include "routing/order.h"

namespace hawthornlug {

DaemonRef DecodeRef(const wire::Ref& aMessage);

void EncodeOrder(const Order& aOrder, Instant aNow, wire::Order& aMessage);
Order DecodeOrder(const wire::Order& aMessage, Instant aNow);

void EncodeAnswer(const OrderAnswer& aAnswer, wire::OrderAnswer& aMessage);
/// An answer that can't be read counts as unknown.
OrderAnswer DecodeAnswer(const wire::OrderAnswer& aMessage);

/// The sender is always among the members of a heartbeat message, as its first.
void EncodeHeartbeat(const Member& aSelf, const HeartbeatInfo& aInfo, wire::Heartbeat& aMessage);
/// Returns false if the message names no sender.
bool DecodeHeartbeat(const wire::Heartbeat& aMessage, Member& aFrom, HeartbeatInfo& aInfo);

void EncodeObjects(const ObjectChanges& aChanges, wire::Objects& aMessage);
ObjectChanges DecodeObjects(const wire::Objects& aMessage);

} // namespace hawthornlug
