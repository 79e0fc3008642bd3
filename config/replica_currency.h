/// @file
/// How current a daemon's replica of the objects in the store is.
#pragma once

#include "config/object_mirror.h"
#include "core/instant.h"

#include <array>
#include <deque>

namespace hawthornlug {

/// The kinds of objects that all daemons keep replicas of.
inline constexpr std::array<ObjectKind, 3> kReplicatedKinds = { ObjectKind::kConfiguration,
                                                                ObjectKind::kServer,
                                                                ObjectKind::kDomainOut };

/// What a daemon states about its replica of one kind.
struct CurrencyStatement
{
  ObjectKind kind = ObjectKind::kServer;
  /// Up to which revision it is complete.
  StoreRevision at;
  /// Revision of the latest change up to there.
  StoreRevision changedAt;
  /// It holds everything that the store had confirmed by then.
  Instant asOf;
};

/// Keeps, for each kind, the time up to which everything that the store had confirmed is known to
/// be in the replica: the age of that time bounds how long this daemon has gone on by a state that
/// has changed. It follows from this daemon's own readings of the store and from those that others
/// tell of; that another daemon is live, or was asked, says nothing about it. The state depends
/// only on the arguments of the calls.
class ReplicaCurrency
{
public:
  /// Before @p aStartedAt nothing counts as missed.
  ReplicaCurrency(ObjectMirror& aMirror, Instant aStartedAt);

  /// A reading of the store that has been applied shows its state at @p aAsOf or later.
  void OnReading(ObjectKind aKind, Instant aAsOf);
  /// Another daemon states how current its replica is. If this one lacks a change that the other
  /// has, the statement counts once the change has been applied.
  void OnStatement(const CurrencyStatement& aStatement);
  /// Something that another daemon has sent was applied.
  void OnApplied(ObjectKind aKind);

  Instant AsOf(ObjectKind aKind) const { return Of(aKind).asOf; }
  CurrencyStatement Describe(ObjectKind aKind) const;

private:
  struct Kind
  {
    Instant asOf;
    /// Statements of replicas that have changes which this one lacks, the earlier ones first.
    std::deque<CurrencyStatement> ahead;
  };

  const Kind& Of(ObjectKind aKind) const { return mKinds.at(static_cast<std::size_t>(aKind)); }
  Kind& Of(ObjectKind aKind) { return mKinds.at(static_cast<std::size_t>(aKind)); }
  /// Takes over a statement if this replica has all that it is about.
  bool Take(const CurrencyStatement& aStatement);

  ObjectMirror& mMirror;
  std::array<Kind, kObjectKinds> mKinds;
};

} // namespace hawthornlug
