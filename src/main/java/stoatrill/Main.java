package stoatrill;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import stoatrill.wire.Loop;
import stoatrill.wire.MalformedInputException;

/** The command line: {@code drill} runs the adapter on standard input and output. */
public final class Main {

  private Main() {}

  /** Exits with 0 at the end of input, 1 on malformed input or a broken pipe, 2 on wrong arguments. */
  public static void main(String[] args) {
    if (args.length != 1 || !args[0].equals("drill")) {
      System.err.println("usage: java -jar stoatrill.jar drill");
      System.exit(2);
    }
    try (BufferedInputStream in = new BufferedInputStream(System.in, 1 << 16);
        FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
      new Loop(in, out).run();
    } catch (MalformedInputException e) {
      System.err.println("stoatrill: malformed input: " + e.getMessage());
      System.exit(1);
    } catch (IOException e) {
      System.err.println("stoatrill: " + e.getMessage());
      System.exit(1);
    }
  }
}
