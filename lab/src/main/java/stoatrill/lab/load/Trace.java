package stoatrill.lab.load;

import java.io.IOException;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;
import stoatrill.settings.SettingsException;

/** Recorded arrivals, as a CSV with the columns {@code at_ms,class,team,key,group,work_ms}, in order of time. */
public final class Trace {

    /** One arrival; {@code at} and {@code work} in nanoseconds, {@code at} counted from the day's start. */
    public record Line(long at, String kind, String team, long key, int group, double work) {}

    private Trace() {}

    /** Reads a file; the first line that can't be used ends it with an error that names the line. */
    public static List<Line> read(Path file) throws IOException, SettingsException {
        List<Line> lines = new ArrayList<>();
        CSVFormat format = CSVFormat.DEFAULT
                .builder()
                .setHeader()
                .setSkipHeaderRecord(true)
                .setTrim(true)
                .get();
        try (Reader in = Files.newBufferedReader(file, StandardCharsets.UTF_8);
                CSVParser parser = format.parse(in)) {
            long before = 0;
            for (CSVRecord r : parser) {
                try {
                    long at = (long) (Double.parseDouble(r.get("at_ms")) * 1e6);
                    if (at < before) {
                        throw new IllegalArgumentException("times go back; sort the file by at_ms");
                    }
                    before = at;
                    lines.add(new Line(
                            at,
                            r.get("class"),
                            r.get("team"),
                            Long.parseLong(r.get("key")),
                            Integer.parseInt(r.get("group")),
                            Double.parseDouble(r.get("work_ms")) * 1e6));
                } catch (IllegalArgumentException e) {
                    throw SettingsException.of(file + ":" + parser.getCurrentLineNumber() + ": " + e.getMessage()
                            + "; the columns are at_ms,class,team,key,group,work_ms");
                }
            }
        }
        return lines;
    }
}
