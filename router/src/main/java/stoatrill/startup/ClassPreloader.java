package stoatrill.startup;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Enumeration;
import java.util.List;
import java.util.Set;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.stream.Stream;
import stoatrill.discovery.ServerList;

/**
 * Loads and initializes every class that a router may need, before it accepts its first request. If a file could not
 * be read later, requests would fail for good: code that needs a class does not retry one that once failed to load.
 * The platform's own classes are mapped into memory from the start, so loading them takes no system call.
 */
public final class ClassPreloader {
    private static final String CLASS_FILE_SUFFIX = ".class";
    private static final String ROOT_PACKAGE = "stoatrill";
    /** Packages that a serving router does not use. */
    private static final Set<String> EXCLUDED_PACKAGES = Set.of("stoatrill.cli", "stoatrill.homes", "stoatrill.wire");
    /** A list with every kind of value and several malformed ones: parsing them loads the classes that parsing uses. */
    private static final List<String> SAMPLE_LISTS = List.of(
            "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"a\",\"endpoint\":\"127.0.0.1:1\",\"az\":null,"
                    + "\"capacity_hint\":1.5,\"boot_ms\":0,\"state\":\"Ready\"}]}",
            "{\"rev\":1,\"targets\":[{\"uid\":",
            "{\"rev\":\"x\",\"targets\":[]}",
            "{rev:1]",
            "[]");

    /**
     * Platform classes that are used when system calls fail. The first reads a platform file when it is initialized,
     * and is unusable afterwards if it can't.
     */
    private static final List<String> PLATFORM_CLASSES = List.of(
            "sun.net.util.SocketExceptions",
            "sun.net.ConnectionResetException",
            "java.net.SocketException",
            "java.net.ConnectException",
            "java.net.NoRouteToHostException",
            "java.nio.channels.ClosedChannelException",
            "java.nio.channels.AsynchronousCloseException",
            "java.nio.channels.CancelledKeyException",
            "java.lang.Throwable$WrappedPrintStream",
            "sun.nio.ch.SocketChannelImpl");

    private ClassPreloader() {}

    /**
     * Loads and initializes the classes.
     *
     * @return the number of the router's own classes that were loaded
     * @throws IOException if a class can't be read; those already loaded stay loaded, and another call loads the rest
     */
    public static int load() throws IOException {
        Path source = Path.of(ClassPreloader.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .getPath());
        List<String> names = Files.isDirectory(source) ? namesInDirectory(source) : namesInJar(source);
        int loaded = 0;
        for (String name : names) {
            if (isNeeded(name)) {
                load(name);
                loaded++;
            }
        }
        for (String list : SAMPLE_LISTS) {
            parseSample(list);
        }
        for (String name : PLATFORM_CLASSES) {
            loadIfPresent(name);
        }
        return loaded;
    }

    /** Loads a class that some versions of the platform lack. */
    private static void loadIfPresent(String name) throws IOException {
        try {
            Class<?> unused = Class.forName(name);
        } catch (ClassNotFoundException e) {
            // this platform does not use it either
        } catch (LinkageError e) {
            throw new IOException("class " + name + " can't be loaded", e);
        }
    }

    private static void load(String name) throws IOException {
        try {
            Class<?> unused = Class.forName(name);
        } catch (ClassNotFoundException | LinkageError e) {
            throw new IOException("class " + name + " can't be loaded", e);
        }
    }

    private static void parseSample(String list) {
        try {
            ServerList unused = ServerList.parse(list);
        } catch (ServerList.InvalidListException e) {
            // expected for the malformed lists: this has loaded the classes that report the error
        }
    }

    private static boolean isNeeded(String name) {
        String packageName = name.substring(0, Math.max(0, name.lastIndexOf('.')));
        return packageName.startsWith(ROOT_PACKAGE)
                && !EXCLUDED_PACKAGES.contains(packageName)
                && !name.endsWith("package-info");
    }

    private static List<String> namesInJar(Path jar) throws IOException {
        List<String> names = new ArrayList<>();
        try (JarFile file = new JarFile(jar.toFile())) {
            for (Enumeration<JarEntry> entries = file.entries(); entries.hasMoreElements(); ) {
                addClass(entries.nextElement().getName(), names);
            }
        }
        return names;
    }

    private static List<String> namesInDirectory(Path directory) throws IOException {
        List<String> names = new ArrayList<>();
        try (Stream<Path> files = Files.walk(directory)) {
            files.forEach(file -> addClass(
                    directory
                            .relativize(file)
                            .toString()
                            .replace(directory.getFileSystem().getSeparator(), "/"),
                    names));
        }
        return names;
    }

    private static void addClass(String file, List<String> names) {
        if (file.endsWith(CLASS_FILE_SUFFIX)) {
            names.add(file.substring(0, file.length() - CLASS_FILE_SUFFIX.length())
                    .replace('/', '.'));
        }
    }
}
