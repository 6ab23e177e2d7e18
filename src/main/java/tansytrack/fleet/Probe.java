package tansytrack.fleet;

/** The probe of the current round. */
final class Probe {
  final Member target;
  final long requestId;
  final long directTimeoutAt;
  int helpersAsked;
  // The number of helpers that reported no ack from the target.
  int nacks;
  boolean acknowledged;
  boolean indirect;

  Probe(Member target, long requestId, long directTimeoutAt) {
    this.target = target;
    this.requestId = requestId;
    this.directTimeoutAt = directTimeoutAt;
  }
}
