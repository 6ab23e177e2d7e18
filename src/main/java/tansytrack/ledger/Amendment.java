package tansytrack.ledger;

import java.math.BigDecimal;

/**
 * A correction that is added to a billing period; existing entries are never rewritten.
 *
 * @param number the number of the amendment in its ledger, from 1; 0 before it is stored
 * @param amount the amount added to the tenant's bill; 0 for a withdrawal
 * @param corrects the entry ({@code e:EPOCH:NUMBER}) or amendment ({@code a:NUMBER}) that is
 *     corrected; empty for a correction of the tenant's total
 * @param createdAt the time of the correction in nanoseconds of the Unix clock
 * @param withdraws whether this amendment revokes the whole amendment that it names
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
