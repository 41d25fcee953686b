package stoatrill.lab.run;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import stoatrill.contract.Contracts;
import stoatrill.lab.load.Trace;
import stoatrill.lab.policy.Policy;
import stoatrill.lab.world.Plan;
import stoatrill.settings.Block;
import stoatrill.settings.BlockReader;
import stoatrill.settings.Directive;
import stoatrill.settings.Problems;
import stoatrill.settings.SettingsException;
import stoatrill.settings.SettingsFile;
import stoatrill.settings.SourcePosition;
import stoatrill.settings.Word;

/**
 * An experiment as its file states it.
 *
 * @param without the policy that stands in for the module where the experiment is run without it
 * @param withoutContracts whether it is run without its contracts there, and with the module
 * @param sizes multiples of routers, nodes and groups at which speed and memory are measured
 */
public record Experiment(
        String name,
        String about,
        int seeds,
        Plan plan,
        List<Policy> policies,
        List<Claim> claims,
        Policy without,
        boolean withoutContracts,
        List<Integer> sizes) {

    /** Reads a file; {@code settings} go before what its model block says. */
    public static Experiment read(Path file, Map<String, String> settings) throws SettingsException, IOException {
        try {
            return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8), settings, file.getParent());
        } catch (NoSuchFileException e) {
            throw SettingsException.of(file + ": there is no such file; stoatrill lab list shows the experiments");
        } catch (MalformedInputException e) {
            throw SettingsException.of(file + ": not text in UTF-8; save it as UTF-8");
        }
    }

    static Experiment parse(String file, String text, Map<String, String> settings, Path folder)
            throws SettingsException, IOException {
        Problems problems = new Problems();
        Block block = with(SettingsFile.parse(file, text), settings);
        BlockReader in = new BlockReader(block, problems);
        String name = in.text("experiment", "unnamed");
        String about = in.text("about", "");
        int seeds = in.count("seeds", 1, 10_000, 5);
        Plan plan = Plan.read(in);
        List<Policy> policies = new ArrayList<>();
        Directive named = in.directive("policies");
        if (named == null) {
            policies.addAll(List.of(Policy.values()));
        } else {
            named.words().forEach(w -> policies.add(in.enumValue(w, Policy.class, Policy.DECIDE)));
        }
        List<Claim> claims = new ArrayList<>();
        for (Directive d : in.directives("claim")) {
            Claim claim = Claim.read(in, d);
            if (claim != null
                    && (!policies.contains(claim.policy())
                            || (claim.than() != null && !policies.contains(claim.than())))) {
                in.addProblem(d.position(), "this claim names a policy that is not played; add it to \"policies\"");
            }
            claims.add(claim);
        }
        boolean withoutContracts = "contracts".equals(firstWord(in.directive("without")));
        Policy without = withoutContracts ? Policy.DECIDE : in.enumValue("without", Policy.class, Policy.RANDOM);
        List<Integer> sizes = new ArrayList<>();
        Directive given = in.directive("sizes");
        if (given != null) {
            given.words()
                    .forEach(w -> sizes.add((int) in.quantity(w, stoatrill.settings.Quantity.COUNT, 1, 1_000_000, 1)));
        }
        in.reportUnknown();
        problems.throwIfAny();
        if (plan.traceFile != null) {
            plan.trace = Trace.read(folder == null ? Path.of(plan.traceFile) : folder.resolve(plan.traceFile));
        }
        if (plan.contractsFile != null) {
            Path terms = folder == null ? Path.of(plan.contractsFile) : folder.resolve(plan.contractsFile);
            plan.contracts = Contracts.parse(terms.toString(), Files.readString(terms, StandardCharsets.UTF_8));
        }
        return new Experiment(
                name,
                about,
                seeds,
                plan,
                policies,
                claims.stream().filter(Objects::nonNull).toList(),
                without,
                withoutContracts,
                sizes);
    }

    private static String firstWord(Directive d) {
        return d == null || d.words().isEmpty() ? null : d.words().get(0).text();
    }

    /** Puts settings into the model block, as if the file had them. */
    private static Block with(Block file, Map<String, String> settings) {
        if (settings.isEmpty()) {
            return file;
        }
        List<Directive> all = new ArrayList<>();
        Directive model = null;
        for (Directive d : file.directives()) {
            if (d.name().text().equals("model") && d.block() != null && model == null) {
                model = d;
            } else {
                all.add(d);
            }
        }
        SourcePosition place = new SourcePosition("--set", 1, 1);
        List<Directive> inside = new ArrayList<>();
        if (model != null) {
            model.block().directives().stream()
                    .filter(d -> !settings.containsKey(d.name().text()))
                    .forEach(inside::add);
        }
        settings.forEach((key, value) -> {
            List<Word> words = new ArrayList<>();
            for (String word : value.split(" ", 0)) {
                words.add(new Word(word, false, new SourcePosition("--set", 1, key.length() + 2)));
            }
            inside.add(new Directive(new Word(key, false, place), words, null));
        });
        all.add(new Directive(
                new Word("model", false, model == null ? place : model.position()),
                List.of(),
                new Block(inside, model == null ? place : model.block().position())));
        return new Block(all, file.position());
    }
}
