/// @file
/// The platform object that records a cell: which daemon is attached to it, that is, leads it, and
/// which server owns each of its shards.
#pragma once

#include "core/errors.h"
#include "core/ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornlug {

/// The stored state of one backend server of a cell.
struct ServerRecord
{
  /// The incarnation that may be granted shards; 0 if none is recorded yet.
  Incarnation incarnation = 0;
  /// Earlier leaders that may have granted shards to the server since it last accepted a token.
  std::vector<DaemonRef> earlierLeaders;

  bool operator==(const ServerRecord&) const = default;
};

/// The stored state of one shard.
struct ShardRecord
{
  std::string owner;
  Epoch epoch = 0;
  /// The standby: the server that the leader may make owner before it writes this to the platform;
  /// empty if there is none.
  std::string standby;

  bool operator==(const ShardRecord&) const = default;
};

/// A shard that has left for another cell and is not known to have arrived there.
struct DepartureRecord
{
  Epoch epoch = 0;
  std::string toCell;

  bool operator==(const DepartureRecord&) const = default;
};

/// The stored state of a cell.
struct CellObject
{
  DaemonRef attached;
  FencingToken token = 0;
  std::map<std::string, ServerRecord> servers;
  std::map<ShardId, ShardRecord> shards;
  /// Shards that have left for another cell.
  std::map<ShardId, DepartureRecord> departures;
  /// Shards that arrived from the named cell, whose object may still list them in `departures`.
  std::map<ShardId, std::string> arrivals;

  bool operator==(const CellObject&) const = default;
};

/// Returns the text form (JSON) in which a cell's object is stored at the platform.
std::string EncodeCell(const CellObject& aCell);

/// Decodes the text written by EncodeCell(); fails with PlatformError::kMalformed.
Result<CellObject> DecodeCell(const std::string& aText);

/// Returns "cells/SERVICE/DOMAIN/N", the name of a cell's object.
std::string CellName(const std::string& aService, const std::string& aDomain, std::size_t aNumber);

/// The parts of the name of a cell's object.
struct CellAddress
{
  std::string service;
  std::string domain;
  std::size_t number = 0;
};

/// Parses a name made by CellName(); returns std::nullopt if it is malformed.
std::optional<CellAddress> ParseCellName(const std::string& aName);

} // namespace hawthornlug
