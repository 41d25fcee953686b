package stoatrill.scenario;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.stream.Stream;
import stoatrill.Main;

/**
 * Packs the program's classes into a jar, as in production. With a directory on the class path, each class that is
 * loaded late would need a descriptor.
 */
final class ProgramJar {
    private ProgramJar() {}

    /** Writes a jar of the program to the directory and returns this test's class path with that jar first. */
    static String classPath(Path directory) throws Exception {
        Path classes = Path.of(
                Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        Path jar = directory.resolve("program.jar");
        try (JarOutputStream output = new JarOutputStream(Files.newOutputStream(jar));
                Stream<Path> files = Files.walk(classes)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                output.putNextEntry(new JarEntry(classes.relativize(file).toString()));
                Files.copy(file, output);
            }
        }
        return jar + File.pathSeparator + System.getProperty("java.class.path");
    }
}
