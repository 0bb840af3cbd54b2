package org.wigeonferry.measurements;

/**
 * Cost and quality of a policy.
 *
 * <p>Immutable and thread safe.
 *
 * @param policy name of the policy
 * @param cost mean cost of a request
 * @param quality mean rating of what was delivered
 */
record CostResult(String policy, double cost, double quality) {}
