/// @file
/// Daemons that read the store tell the others how current what they have is.
#pragma once

#include "config/replica_currency.h"
#include "runtime/mesh.h"

#include <array>

namespace hawthornlug {

/// Sends statements about this daemon's own readings of the store, and takes in those of others.
/// Runs on the daemon's event loop.
class CurrencyExchange
{
public:
  CurrencyExchange(ObjectMirror& aMirror, Mesh& aMesh, Instant aStartedAt);

  /// A reading of the store that has been applied shows its state at @p aAsOf or later.
  /// @p aIsStated: the other daemons are told.
  void OnReading(ObjectKind aKind, Instant aAsOf, bool aIsStated);
  /// Something that another daemon has sent was applied.
  void OnApplied(ObjectKind aKind) { mCurrency.OnApplied(aKind); }
  /// Takes in a message of another daemon, and passes it on if others rely on this one for that.
  void OnStatements(const MeshPeer& aPeer, const wire::Envelope& aMessage, Instant aNow);
  /// Sends a statement if this daemon has read the store since the last one.
  void Tick(Instant aNow);

  /// The replica has everything that the store had confirmed by then.
  Instant AsOf(ObjectKind aKind) const { return mCurrency.AsOf(aKind); }

private:
  wire::Envelope MakeStatements(Instant aNow) const;

  Mesh& mMesh;
  ReplicaCurrency mCurrency;
  /// The state that readings show that are stated, by kind, and which of it has been.
  std::array<Instant, kObjectKinds> mReadAsOf;
  std::array<Instant, kObjectKinds> mStatedAsOf;
};

} // namespace hawthornlug
