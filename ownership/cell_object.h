/// @file
/// The platform object that records a cell: who is attached to it and who owns its shards.
#pragma once

#include "core/errors.h"
#include "core/ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornlug {

/// What is recorded of one backend server of a cell.
struct ServerRecord
{
  /// The run to which grants may be given; 0 when none is recorded yet.
  Incarnation incarnation = 0;
  /// Earlier daemons that may have set grants since the server last accepted a token.
  std::vector<DaemonRef> holders;

  bool operator==(const ServerRecord&) const = default;
};

/// What is recorded of one shard.
struct ShardRecord
{
  std::string owner;
  Epoch epoch = 0;
  /// The server that may be made owner from memory; empty when there is none.
  std::string heir;

  bool operator==(const ShardRecord&) const = default;
};

/// A shard that has left for another cell and has not been acknowledged there.
struct OutRecord
{
  Epoch epoch = 0;
  std::string toCell;

  bool operator==(const OutRecord&) const = default;
};

/// The whole record of a cell.
struct CellObject
{
  DaemonRef attached;
  FencingToken token = 0;
  std::map<std::string, ServerRecord> servers;
  std::map<ShardId, ShardRecord> shards;
  std::map<ShardId, OutRecord> outs;
  /// Shards that came from the named cell, which may still list them as on their way.
  std::map<ShardId, std::string> arrivals;

  bool operator==(const CellObject&) const = default;
};

/// Returns the text under which a cell is kept at the platform.
std::string EncodeCell(const CellObject& aCell);

/// Reads what EncodeCell() wrote; fails with PlatformError::kMalformed.
Result<CellObject> DecodeCell(const std::string& aText);

/// Returns "cells/SERVICE/DOMAIN/N", the name of a cell's object.
std::string CellName(const std::string& aService, const std::string& aDomain, std::size_t aNumber);

/// The parts of a cell's name.
struct CellAddress
{
  std::string service;
  std::string domain;
  std::size_t number = 0;
};

/// Takes a cell's name apart; nothing if it is not one.
std::optional<CellAddress> ParseCellName(const std::string& aName);

} // namespace hawthornlug
