package stoatrill.contract;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stoatrill.settings.Block;
import stoatrill.settings.BlockReader;
import stoatrill.settings.Directive;
import stoatrill.settings.Problems;
import stoatrill.settings.Quantity;
import stoatrill.settings.SettingsException;
import stoatrill.settings.SettingsFile;
import stoatrill.settings.Word;

/**
 * All contracts of a file, parents before their sub-teams, validated as a whole. Immutable.
 *
 * <p>A file contains blocks {@code team NAME}, which may be nested, with {@code share}, {@code rate}, {@code burst},
 * {@code budget N per SPAN}, {@code worth} and {@code over refuse|when-short}; and {@code unknown refuse} or
 * {@code unknown team NAME} for requests that name no team of the file.
 */
public final class Contracts {
    /** The whole of the primary's work, in parts per million. */
    private static final long WHOLE_SHARE = 1_000_000L;

    private static final long NANOS_PER_DAY = 86_400_000_000_000L;
    /** The largest number of teams nested in each other. */
    private static final int TEAM_DEPTH_LIMIT = 8;

    private final List<Contract> all;
    private final Map<String, Integer> indexByPath = new HashMap<>();
    private final int unknownTeamIndex;

    private Contracts(List<Contract> all, int unknownTeamIndex) {
        this.all = List.copyOf(all);
        this.unknownTeamIndex = unknownTeamIndex;
        for (int i = 0; i < all.size(); i++) {
            indexByPath.put(all.get(i).path(), i);
        }
    }

    /**
     * Parses the text of a file and reports all errors at once.
     *
     * @param file name that is used in error messages only
     */
    public static Contracts parse(String file, String text) throws SettingsException {
        Block block = SettingsFile.parse(file, text);
        Problems problems = new Problems();
        BlockReader reader = new BlockReader(block, problems);
        List<Contract> all = new ArrayList<>();
        Map<String, Directive> directivesByPath = new HashMap<>();
        parseTeams(reader, reader.directives("team"), -1, WHOLE_SHARE, "the primary", all, directivesByPath, 1);
        int unknownTeamIndex = -1;
        Directive directive = reader.directive("unknown");
        if (directive != null) {
            List<Word> words = reader.checkedWords(directive, 1, 2, "unknown refuse, or unknown team NAME");
            if (words != null && words.size() == 2 && words.get(0).text().equals("team")) {
                for (int i = 0; i < all.size(); i++) {
                    unknownTeamIndex = all.get(i).path().equals(words.get(1).text()) ? i : unknownTeamIndex;
                }
                if (unknownTeamIndex < 0) {
                    reader.addProblem(
                            words.get(1).position(),
                            "there is no team \"" + words.get(1).text()
                                    + "\"; name one of this file, with its parents joined by dots");
                }
            } else if (words != null
                    && !(words.size() == 1 && words.get(0).text().equals("refuse"))) {
                reader.addProblem(
                        directive.position(), "\"unknown\" can't be read; write: unknown refuse, or unknown team NAME");
            }
        }
        reader.reportUnknown();
        problems.throwIfAny();
        return new Contracts(all, unknownTeamIndex);
    }

    private static void parseTeams(
            BlockReader reader,
            List<Directive> teams,
            int parent,
            long availableShare,
            String owner,
            List<Contract> all,
            Map<String, Directive> directivesByPath,
            int depth) {
        long promisedShare = 0;
        for (Directive directive : teams) {
            List<Word> words = reader.checkedWords(directive, 1, 1, "team NAME {");
            if (words == null) {
                continue;
            }
            String name = words.get(0).text();
            if (directive.block() == null || !name.matches("[A-Za-z0-9_-]{1,63}") || depth > TEAM_DEPTH_LIMIT) {
                reader.addProblem(
                        directive.position(),
                        directive.block() == null
                                ? "\"team\" opens a block; end the line with '{'"
                                : depth > TEAM_DEPTH_LIMIT
                                        ? "teams stand in each other more than " + TEAM_DEPTH_LIMIT
                                                + " deep; put this one further up"
                                        : "\"" + name
                                                + "\" is no name; write letters, digits, '-' and '_', 63 at most");
                continue;
            }
            String path = parent < 0 ? name : all.get(parent).path() + "." + name;
            Directive earlier = directivesByPath.putIfAbsent(path, directive);
            if (earlier != null) {
                reader.addProblem(
                        words.get(0).position(),
                        "team \"" + path + "\" is already in line "
                                + earlier.position().line() + "; rename one of them");
            }
            BlockReader blockReader = reader.nestedReader(directive.block());
            Contract contract = parseContract(blockReader, path, parent);
            promisedShare += contract.share();
            if (promisedShare > availableShare) {
                reader.addProblem(
                        directive.position(),
                        "with this team " + Quantity.SHARE.format(promisedShare) + " of " + owner
                                + " are promised, and there are " + Quantity.SHARE.format(availableShare)
                                + "; lower a share");
                promisedShare = Long.MIN_VALUE / 2; // so that the error is reported only once
            }
            if (parent >= 0
                    && all.get(parent).requestsPerDay() > 0
                    && contract.requestsPerDay() > all.get(parent).requestsPerDay()) {
                reader.addProblem(
                        directive.position(),
                        "\"" + path + "\" is promised " + Quantity.RATE.format(contract.requestsPerDay())
                                + ", and the team above it "
                                + Quantity.RATE.format(all.get(parent).requestsPerDay()) + "; lower this rate");
            }
            int index = all.size();
            all.add(contract);
            parseTeams(
                    blockReader,
                    blockReader.directives("team"),
                    index,
                    contract.share(),
                    "team \"" + path + "\"",
                    all,
                    directivesByPath,
                    depth + 1);
            blockReader.reportUnknown();
        }
    }

    private static Contract parseContract(BlockReader reader, String path, int parent) {
        long perDay = reader.quantity("rate", Quantity.RATE, 1, Long.MAX_VALUE / 4, 0);
        long perSecond = Math.max(1, perDay / 86_400);
        long burst = reader.quantity("burst", Quantity.COUNT, 1, 1_000_000_000, Math.min(1_000_000_000, perSecond));
        if (perDay > 0 && !RateBucket.canCountExactly(perDay, burst)) {
            reader.addProblem(
                    reader.directive("rate").position(),
                    "this rate can't be counted exactly with a burst of " + burst
                            + "; round the rate to whole requests a second or minute, or lower the burst");
            perDay = 0;
        }
        long budget = 0;
        long window = NANOS_PER_DAY;
        Directive directive = reader.directive("budget");
        if (directive != null) {
            List<Word> words = reader.checkedWords(directive, 3, 3, "budget 100000 per 1h");
            if (words != null && words.get(1).text().equals("per")) {
                budget = reader.quantity(words.get(0), Quantity.COUNT, 1, 1_000_000_000_000L, 1);
                window = reader.quantity(
                        words.get(2), Quantity.SPAN, 1_000_000_000L, 366 * NANOS_PER_DAY, NANOS_PER_DAY);
            } else if (words != null) {
                reader.addProblem(directive.position(), "\"budget\" can't be read; write: budget 100000 per 1h");
            }
        }
        return new Contract(
                path,
                parent,
                reader.quantity("share", Quantity.SHARE, 0, WHOLE_SHARE, 0),
                perDay,
                burst,
                budget,
                window,
                reader.quantity("worth", Quantity.NUMBER, 0, 1_000_000_000, 1000),
                reader.enumValue("over", Contract.Over.class, Contract.Over.REFUSE));
    }

    /**
     * Returns the contracts that one of several routers enforces, so that all of them together never admit more than
     * was promised. Each router admits at least one request at once, so bursts smaller than the number of routers add
     * up to that number.
     */
    public Contracts perRouter(int routerCount) {
        if (routerCount <= 1) {
            return this;
        }
        List<Contract> parts = new ArrayList<>();
        for (Contract contract : all) {
            long perDay = contract.requestsPerDay() == 0 ? 0 : Math.max(1, contract.requestsPerDay() / routerCount);
            long burst = Math.max(1, contract.burst() / routerCount);
            while (perDay > 1 && !RateBucket.canCountExactly(perDay, burst)) {
                perDay--; // the next lower rate that can be counted exactly
            }
            parts.add(new Contract(
                    contract.path(),
                    contract.parentIndex(),
                    contract.share(),
                    perDay,
                    burst,
                    contract.budget() == 0 ? 0 : Math.max(1, contract.budget() / routerCount),
                    contract.budgetWindow(),
                    contract.worth(),
                    contract.over()));
        }
        return new Contracts(parts, unknownTeamIndex);
    }

    /** Returns all contracts, parents before their sub-teams. */
    public List<Contract> all() {
        return all;
    }

    /**
     * Returns the index of a team by its path, or of the team that stands in for unknown ones; negative if unknown
     * teams are refused.
     */
    public int indexOf(String path) {
        return indexByPath.getOrDefault(path, unknownTeamIndex);
    }
}
