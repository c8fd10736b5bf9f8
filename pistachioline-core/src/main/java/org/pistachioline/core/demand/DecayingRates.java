package org.pistachioline.core.demand;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BinaryOperator;
import java.util.function.ToDoubleFunction;

/**
 * Rates by key, of which the smallest are forgotten.
 *
 * @param <K> the key
 * @param <V> the rates of a key
 */
final class DecayingRates<K, V> {

	/** The rate below which a key is forgotten. */
	private static final double MIN_PER_SECOND = 1e-4;

	private final int maxKeys;

	private final BinaryOperator<V> sum;

	private final Scaling<V> scaling;

	private final ToDoubleFunction<V> size;

	private final Map<K, V> rates = new HashMap<>();

	/**
	 * Creates empty rates.
	 * @param maxKeys the bound on keys
	 * @param sum adds two rates
	 * @param scaling multiplies a rate
	 * @param size returns the rate per second by which keys are compared
	 */
	DecayingRates(int maxKeys, BinaryOperator<V> sum, Scaling<V> scaling, ToDoubleFunction<V> size) {
		this.maxKeys = maxKeys;
		this.sum = sum;
		this.scaling = scaling;
		this.size = size;
	}

	void add(K key, V added) {
		this.rates.merge(key, added, this.sum);
		if (this.rates.size() > this.maxKeys) {
			this.rates.entrySet()
				.stream()
				.min(Comparator.comparingDouble((entry) -> this.size.applyAsDouble(entry.getValue())))
				.map(Map.Entry::getKey)
				.ifPresent(this.rates::remove);
		}
	}

	void scale(double factor) {
		this.rates.replaceAll((key, rate) -> this.scaling.times(rate, factor));
	}

	/**
	 * Replaces all rates by a sum.
	 * @param ownFactor the factor of the rates so far
	 * @param others the rates to add; those of a missing key are zero
	 * @param othersFactor the factor of the rates to add
	 */
	void combine(double ownFactor, Map<K, V> others, double othersFactor) {
		scale(ownFactor);
		others.forEach((key, rate) -> add(key, this.scaling.times(rate, othersFactor)));
		this.rates.values().removeIf((rate) -> this.size.applyAsDouble(rate) < MIN_PER_SECOND);
	}

	Map<K, V> view() {
		return this.rates;
	}

	/**
	 * Multiplies a rate.
	 *
	 * @param <V> the rate
	 */
	@FunctionalInterface
	interface Scaling<V> {

		V times(V rate, double factor);

	}

}
