package tansytrack.ledger;

import java.math.BigDecimal;

/**
 * A change to a period after the fact, never a rewriting. It corrects an entry (e:EPOCH:NUMBER),
 * another amendment (a:NUMBER), or a tenant's sum (empty); one that withdraws takes the corrected
 * amendment back whole.
 */
public record Amendment(
    long number,
    String period,
    String tenant,
    BigDecimal amount,
    String author,
    String reason,
    String corrects,
    long createdAt,
    boolean withdraws) {}
