package stoatrill.lab.cli;

import java.util.concurrent.Callable;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import stoatrill.cli.Commands;

/** Runs the benchmarks by JMH. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:all went well", "1:it failed", "2:wrong usage, or a file that can't be used"},
        description = "Measures by JMH what stands on a request's way, with what it allocates.")
final class Bench implements Callable<Integer> {
    @Parameters(paramLabel = "PATTERN", defaultValue = ".*", description = "which benchmarks (default: all)")
    private String pattern;

    @Override
    public Integer call() throws Exception {
        new Runner(new OptionsBuilder()
                        .include(pattern)
                        .addProfiler(GCProfiler.class)
                        .build())
                .run();
        return 0;
    }
}
