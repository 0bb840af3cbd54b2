package org.wigeonferry.command_line;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Tells why a request on the platform ended as it did, from its id and the routers' logs.
 *
 * <p>Stateless and thread safe.
 */
final class ExplainCommand {
    private static final String NAME = "explain";

    private ExplainCommand() {}

    static Command run() {
        return arguments -> {
            if (arguments.length < 2) {
                throw new UsageException(NAME, "expected an id and at least one log file");
            }
            List<Path> files = Stream.of(arguments).skip(1).map(Path::of).toList();
            Optional<RequestStory> story = RequestStory.of(arguments[0], LogReader.read(files));
            if (story.isEmpty()) {
                System.err.println("no line names request " + arguments[0]);
                return ExitCodes.FAILED;
            }
            story.get()
                    .own()
                    .forEach(line -> System.out.println(line.file() + " " + line.fields()));
            System.out.println("cause: " + CauseRules.cause(story.get()));
            return ExitCodes.OK;
        };
    }
}
