package stoatrill.settings;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/** The kinds of quantity, each with its units and their sizes. */
public enum Quantity {
    /** A time span, in nanoseconds. */
    SPAN(
            "a time with a unit",
            "300ms, 2s, 5m, 1h or 1d",
            units(
                    "ns",
                    1L,
                    "us",
                    1_000L,
                    "ms",
                    1_000_000L,
                    "s",
                    1_000_000_000L,
                    "m",
                    60_000_000_000L,
                    "h",
                    3_600_000_000_000L,
                    "d",
                    86_400_000_000_000L)),
    /** A size, in bytes. */
    SIZE(
            "a size with a unit",
            "512B, 64KiB, 10MB or 1GiB",
            units(
                    "B",
                    1L,
                    "kB",
                    1_000L,
                    "KB",
                    1_000L,
                    "KiB",
                    1L << 10,
                    "MB",
                    1_000_000L,
                    "MiB",
                    1L << 20,
                    "GB",
                    1_000_000_000L,
                    "GiB",
                    1L << 30)),
    /** A rate, in events a day, so that every unit is a whole number. */
    RATE("a rate with a unit", "200/s, 30/m or 5/h", units("/s", 86_400L, "/m", 1_440L, "/h", 24L, "/d", 1L)),
    /** A share, in parts per million. */
    SHARE("a share in percent", "30% or 2.5%", units("%", 10_000L)),
    /** A decimal number without a unit, in thousandths. */
    NUMBER("a number", "2.4", units("", 1_000L)),
    /** A whole number without a unit. */
    COUNT("a whole number", "12", units("", 1L));

    final String description;
    final String example;

    @SuppressWarnings("ImmutableEnumChecker") // an unmodifiable map, which units() makes and keeps no reference to
    private final Map<String, Long> units;

    Quantity(String description, String example, Map<String, Long> units) {
        this.description = description;
        this.example = example;
        this.units = units;
    }

    private static Map<String, Long> units(Object... pairs) {
        Map<String, Long> units = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            units.put((String) pairs[i], (Long) pairs[i + 1]);
        }
        return Collections.unmodifiableMap(units);
    }

    /**
     * Parses a number with its unit.
     *
     * @return the value in this kind's own unit
     * @throws IllegalArgumentException if the text is not such a quantity; the message says what to write instead
     */
    public long parse(String text) {
        int end = 0;
        while (end < text.length() && (Character.isDigit(text.charAt(end)) || ".-+".indexOf(text.charAt(end)) >= 0)) {
            end++;
        }
        BigDecimal number;
        try {
            number = new BigDecimal(text.substring(0, end));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "\"" + text + "\" is not " + description + "; write for example " + example);
        }
        String unit = text.substring(end);
        Long unitSize = units.get(unit);
        if (unitSize == null && unit.isEmpty()) {
            throw new IllegalArgumentException("\"" + text + "\" has no unit; write for example " + example);
        }
        if (unitSize == null) {
            throw new IllegalArgumentException("\"" + text + "\" has the unit \"" + unit + "\", which is not one of "
                    + (units.containsKey("") ? "those: a plain number is wanted" : String.join(", ", units.keySet()))
                    + "; write for example " + example);
        }
        try {
            return number.multiply(BigDecimal.valueOf(unitSize))
                    .setScale(0, this == COUNT ? RoundingMode.UNNECESSARY : RoundingMode.HALF_EVEN)
                    .longValueExact();
        } catch (ArithmeticException e) {
            throw new IllegalArgumentException(
                    "\"" + text + "\" is " + (this == COUNT ? "not a whole number in range" : "out of range")
                            + "; write for example " + example);
        }
    }

    /** Formats a value, given in this kind's own unit, with the unit that makes the text shortest. */
    public String format(long value) {
        String shortest = null;
        for (Map.Entry<String, Long> unit : units.entrySet()) {
            BigDecimal number = BigDecimal.valueOf(value)
                    .divide(BigDecimal.valueOf(unit.getValue()), 9, RoundingMode.HALF_EVEN)
                    .stripTrailingZeros();
            String text = number.toPlainString() + unit.getKey();
            if (shortest == null || text.length() < shortest.length()) {
                shortest = text;
            }
        }
        return shortest;
    }
}
